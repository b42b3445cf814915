package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// chain is one stream of a client over all its tries.
type chain struct {
	name, model string
	// first is the attempt that brought the first event, and last the number of the last event.
	first string
	last  int
	// versions lists the versions of the software that wrote events, in their order.
	versions []string
	complete bool
	// tries counts the requests, and lastOfFirst is the number of the last event of the first one that brought events.
	tries, lastOfFirst int
	status             string
}

// newRequest returns a request of a client to the machine.
func newRequest(ctx context.Context, method, address, path, id string, deadline time.Duration, body string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Bronzestall-Request-Id", id)
	request.Header.Set("Bronzestall-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	return request
}

// client returns a client that opens a connection for each request and waits for one second at most until it is open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialWithin(time.Second)}}
}

// try sends the stream once, from where it broke off, and reads what comes. It returns how long to wait before the next try.
func (chain *chain) try(bed *bed, machine *machine, number int, deadline time.Time, events int) time.Duration {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	id := fmt.Sprintf("%s-%d", chain.name, number)
	request := newRequest(ctx, http.MethodPost, machine.front, planPath+"x", id, time.Until(deadline), `{"ask":"`+chain.name+`"}`)
	request.Header.Set("Bronzestall-Model", chain.model)
	request.Header.Set("Bronzestall-Token-Usage", fmt.Sprintf("1460,%d", events*eventTokens))
	request.Header.Set("Bronzestall-Prompt-Prefix", "5c1e07a2:350,"+fmt.Sprintf("%x", len(chain.name)*7919+number)+":1110")
	if chain.first != "" {
		request.Header.Set("Resumes", chain.first)
		request.Header.Set("Last-Event-Id", strconv.Itoa(chain.last))
	}
	chain.tries++
	bed.record.add("request %s sent to %s, resumes %q after event %d", id, machine.name, chain.first, chain.last)
	response, err := newClient().Do(request)
	if err != nil {
		chain.status = "no answer"
		bed.record.add("request %s: no answer", id)
		return 0
	}
	defer response.Body.Close()
	chain.status = response.Status
	bed.record.add("request %s answered %d, Retry-After %q, signature %q", id, response.StatusCode, response.Header.Get("Retry-After"), response.Header.Get("Bronzestall-Response-Signature"))
	if response.StatusCode != http.StatusOK {
		after, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		return min(seconds(after), time.Until(deadline)/3)
	}
	chain.read(bufio.NewReader(response.Body), id, events)
	if chain.first == id {
		chain.lastOfFirst = chain.last
	}
	bed.record.add("request %s ended: %d events, versions %v, complete %v", id, chain.last, chain.versions, chain.complete)
	return 0
}

// read reads the events of an answer.
func (chain *chain) read(reader *bufio.Reader, id string, events int) {
	for {
		number, data := 0, ""
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			line = strings.TrimSuffix(line, "\n")
			if line == "" {
				break
			}
			if value, ok := strings.CutPrefix(line, "id: "); ok {
				number, _ = strconv.Atoi(value)
			}
			if value, ok := strings.CutPrefix(line, "data: "); ok {
				data, _, _ = strings.Cut(value, " ")
			}
		}
		if number == 0 {
			continue
		}
		if chain.first == "" {
			chain.first = id
		}
		chain.last = number
		if len(chain.versions) == 0 || chain.versions[len(chain.versions)-1] != data {
			chain.versions = append(chain.versions, data)
		}
		if chain.last == events {
			chain.complete = true
			return
		}
	}
}

// chatter sends streams of the tokens at the rate until the context ends, each to the next machine.
func (bed *bed) chatter(ctx context.Context, perSecond, tokens int, clients *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		machine := bed.machines[number%len(bed.machines)]
		clients.Go(func() {
			sending, release := context.WithTimeout(context.Background(), 15*time.Second)
			defer release()
			id := fmt.Sprintf("chat-%d", number)
			sent := newRequest(sending, http.MethodPost, machine.front, chatPath+"x", id, 15*time.Second, "{}")
			sent.Header.Set("Bronzestall-Model", heldModel)
			sent.Header.Set("Bronzestall-Token-Usage", fmt.Sprintf("1460,%d", tokens))
			sent.Header.Set("Bronzestall-Prompt-Prefix", fmt.Sprintf("5c1e07a2:350,%x:1110", 4096+number))
			response, err := newClient().Do(sent)
			if err != nil {
				bed.record.add("request %s at %s: no answer", id, machine.name)
				return
			}
			defer response.Body.Close()
			_, err = io.Copy(io.Discard, response.Body)
			bed.record.add("request %s at %s: %d, whole %v", id, machine.name, response.StatusCode, err == nil)
		})
	}
}
