// Command standin3 plays the scripts of the review's cases 11 to 15: it starts a small deployment of front daemons as processes, with
// stand-ins of the store, the replicas and the clients that follow the users' pages, brings one disruption about and judges a rule.
//
// Usage: standin3 CASE RECORD. It must be run in the repository. It exits with 0 if the rule held, 1 if it was broken, and 2 if the
// case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the time after which a case that has not ended is given up.
const longest = 115 * time.Second

// cases maps their names to what plays them and reports whether the rule was broken.
var cases = map[string]func(bed *bed, trouble bool) (broken bool, err error){
	"comments": comments,
	"tokens":   tokens,
	"zero":     zero,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case in a temporary folder and returns the exit status.
func play(one func(*bed, bool) (bool, error), path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	bed, err := newBed(rec, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer bed.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		bed.stop()
		os.Exit(2)
	}()
	broken, err := one(bed, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.add("the rule was broken")
		fmt.Println("broken")
		return 1
	}
	rec.add("the rule held")
	fmt.Println("held")
	return 0
}
