package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// load sends ordinary streams for a time and returns how many were sent to each daemon and how many of them were served.
func (bed *bed) load(name string, every, length time.Duration) (sent, served map[string]int) {
	sent, served = map[string]int{}, map[string]int{}
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for number, began := 0, time.Now(); time.Since(began) < length; number++ {
		for _, front := range bed.fronts {
			id := fmt.Sprintf("%s-%s-%d", name, front.name, number)
			clients.Go(func() {
				got := bed.send(fresh, front, http.MethodPost, "/chat/2f", id, "prompt of "+id, 15*time.Second,
					"Bronzestall-Model", "m0", "Bronzestall-Token-Usage", "1460,171", "Bronzestall-Prompt-Prefix", "5c1e07a2:350,"+fmt.Sprintf("%x", number)+":1110")
				mutex.Lock()
				defer mutex.Unlock()
				sent[front.name]++
				if got.status == http.StatusOK && got.complete {
					served[front.name]++
				}
			})
		}
		time.Sleep(every)
	}
	clients.Wait()
	return sent, served
}

// tokens plays one client that states a very large maximum of output tokens, once, for a model that is hardly used.
func tokens(bed *bed, trouble bool) (bool, error) {
	bed.configure(usualRoutes())
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := bed.addReplica("i-desk-"+zone, desk, zone, "v1"); err != nil {
			return false, err
		}
	}
	for _, one := range [][3]string{{"i-engine-1", "b", "m0"}, {"i-engine-2", "c", "m0"}, {"i-engine-3", "a", "m1"}} {
		if _, err := bed.addReplica(one[0], engines, one[1], "v1", one[2]); err != nil {
			return false, err
		}
	}
	if err := bed.addFronts("a", "a", "b", "c"); err != nil {
		return false, err
	}
	if err := bed.startFronts(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var before, after sync.WaitGroup
	var sent, served map[string]int
	before.Go(func() { sent, served = bed.load("before", 120*time.Millisecond, 8*time.Second) })
	time.Sleep(7 * time.Second)
	if trouble {
		before.Go(func() {
			bed.send(fresh, bed.fronts[0], http.MethodPost, "/chat/2f", "large", "large", 15*time.Second,
				"Bronzestall-Model", "m1", "Bronzestall-Token-Usage", "1460,1000000", "Bronzestall-Prompt-Prefix", "77:1460")
		})
	}
	var sentAfter, servedAfter map[string]int
	time.Sleep(time.Second)
	after.Go(func() { sentAfter, servedAfter = bed.load("after", 120*time.Millisecond, 20*time.Second) })
	before.Wait()
	after.Wait()
	bed.record.add("until the large request: sent %v, served %v", sent, served)
	bed.record.add("from a second after it: sent %v, served %v", sentAfter, servedAfter)
	name := bed.fronts[0].name
	return 2*servedAfter[name] < sentAfter[name], nil
}
