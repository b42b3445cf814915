package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pathMoved is the prefix of a route that leads to the service movedFrom, and from the third configuration on to movedTo.
	pathMoved = "/entrada/"
	movedFrom = "taquilla"
	movedTo   = "puerta"
	// The versions of the first configuration, of one that changes a time-out, and of that with the moved route.
	firstVersion, timeoutVersion, movedVersion = 7, 9, 12
	// silenceDelay is the time from the first change to the silence, and moveDelay that from the silence to the second one.
	silenceDelay = 400 * time.Millisecond
	moveDelay    = 600 * time.Millisecond
	// configApply and contact are configApplyMs and contactMs of the site.
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	// watchTime is how long requests are sent after the second change, and movedPause the time between two at one machine.
	watchTime  = 8 * time.Second
	movedPause = 50 * time.Millisecond
)

// configurationFeed is how a call begins that waits for a change of the configuration.
var configurationFeed = []byte("GET /rows-feed?")

// storeProxy carries the connections of one machine to the store.
type storeProxy struct {
	listener net.Listener
	store    string

	mutex sync.Mutex
	open  map[*carried]bool
}

// carried is one connection to the store.
type carried struct {
	inner, outer net.Conn
	// waits states that the last call on it waits for a change of the configuration.
	waits atomic.Bool
	// silent states that nothing is carried any more.
	silent atomic.Bool
}

func newStoreProxy(ip, store string) (*storeProxy, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	created := &storeProxy{listener: listener, store: store, open: map[*carried]bool{}}
	go created.accept()
	return created, nil
}

func (proxy *storeProxy) accept() {
	for {
		inner, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		outer, err := net.Dial("tcp", proxy.store)
		if err != nil {
			_ = inner.Close()
			continue
		}
		next := &carried{inner: inner, outer: outer}
		proxy.mutex.Lock()
		proxy.open[next] = true
		proxy.mutex.Unlock()
		go proxy.carry(next, inner, outer, true)
		go proxy.carry(next, outer, inner, false)
	}
}

// carry passes bytes on, until one end closes or the connection falls silent; a silent one stays open until its machine closes it.
func (proxy *storeProxy) carry(conn *carried, from, to net.Conn, calls bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if calls && n > 0 {
			line, _, _ := bytes.Cut(buffer[:n], []byte("\r\n"))
			conn.waits.Store(bytes.HasPrefix(line, configurationFeed) && bytes.Contains(line, []byte("table=op")))
		}
		if conn.silent.Load() {
			if err == nil {
				continue
			}
			if !calls {
				return
			}
		}
		if n > 0 {
			if _, failure := to.Write(buffer[:n]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			_, _ = conn.inner.Close(), conn.outer.Close()
			proxy.mutex.Lock()
			delete(proxy.open, conn)
			proxy.mutex.Unlock()
			return
		}
	}
}

// silence makes the connections silent on which a call waits for a change of the configuration, and returns their number.
func (proxy *storeProxy) silence() int {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	count := 0
	for conn := range proxy.open {
		if conn.waits.Load() {
			conn.silent.Store(true)
			count++
		}
	}
	return count
}

// moved is a request on the route that is moved.
type moved struct {
	id     string
	sent   time.Time
	status int
}

// playSilence has single connections to the store fall silent, and the configuration changed right after that. New connections and all
// others work.
func playSilence(bed *bed) int {
	bed.store.put("op", "config", configuration(timeoutVersion))
	bed.record.add("version %d is acknowledged", timeoutVersion)
	time.Sleep(silenceDelay)
	silenced := time.Now()
	if bed.trouble {
		for index, proxy := range bed.proxies {
			bed.record.add("%d connections of %s to the store fall silent", proxy.silence(), bed.machines[index].name)
		}
	}
	time.Sleep(moveDelay)
	bed.store.put("op", "config", configuration(movedVersion))
	acknowledged := time.Now()
	bed.record.add("version %d is acknowledged: %s leads to %s", movedVersion, pathMoved, movedTo)
	requests := bed.sendMoved(acknowledged.Add(watchTime))
	judgedFrom := acknowledged.Add(configApply)
	if since := silenced.Add(contact); bed.trouble && since.After(judgedFrom) {
		judgedFrom = since
	}
	judged, old := 0, 0
	for _, request := range requests {
		service := bed.ranAt(request.id)
		bed.record.add("request %s, sent %.2f s after the acknowledgement and %.2f s after the silence: status %d, run by %q",
			request.id, request.sent.Sub(acknowledged).Seconds(), request.sent.Sub(silenced).Seconds(), request.status, service)
		if request.sent.Before(judgedFrom) {
			continue
		}
		judged++
		if service == movedFrom {
			old++
		}
	}
	bed.record.add("%d requests were sent later than %v after the acknowledgement, by machines in touch; %d of them were run by the old service", judged, configApply, old)
	switch {
	case judged == 0:
		return notRun
	case old > 0:
		return broken
	}
	return held
}

// sendMoved sends requests on the moved route at all machines until the time, and returns them.
func (bed *bed) sendMoved(until time.Time) []moved {
	var mutex sync.Mutex
	var requests []moved
	var clients sync.WaitGroup
	for index, client := range bed.clients {
		clients.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				next := moved{id: fmt.Sprintf("moved-%d-%d", index, number), sent: time.Now()}
				next.status, _ = client.sendTo(pathMoved+"x", next.id, nil)
				mutex.Lock()
				requests = append(requests, next)
				mutex.Unlock()
				time.Sleep(movedPause)
			}
		})
	}
	clients.Wait()
	return requests
}

// ranAt returns the service that ran the request; empty if none did.
func (bed *bed) ranAt(id string) string {
	for _, replica := range bed.replicas {
		replica.mutex.Lock()
		ran := replica.runs[id] > 0
		replica.mutex.Unlock()
		if ran {
			return replica.service
		}
	}
	return ""
}
