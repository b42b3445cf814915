package frontsoak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// linkFault is what happens on the links between a daemon and all replicas.
type linkFault int

const (
	// refused resets open connections and refuses new ones.
	refused linkFault = iota
	// hanging stalls open connections, and lets attempts to open new ones go unanswered.
	hanging
	// mute stalls open connections, accepts new ones and passes no byte on.
	mute
	// oneWay passes bytes on to replicas and none back.
	oneWay
	// resetting resets open connections, and new ones as soon as they are accepted.
	resetting
)

// portTimeout is the longest time for which a link waits for its port. Starting a process takes a second and more where many are started.
const portTimeout = 10 * time.Second

// replicaLink is the path from one daemon to one replica: a proxy of its own.
type replicaLink struct {
	address string
	target  string

	mutex sync.Mutex
	proxy *proxy
	// fillers are connections that fill the queue of a listener that accepts none.
	fillers []net.Conn
	// endStall ends the stall of open connections; nil if there is none.
	endStall func()
	closed   func()
}

// newLink opens a link to the address. A socket that is bound and never listens keeps its port from being given to others
// while the link is cut.
func newLink(target string) (*replicaLink, error) {
	reserved, err := bind(&syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})
	if err != nil {
		return nil, err
	}
	bound, err := syscall.Getsockname(reserved)
	if err != nil {
		return nil, err
	}
	address := fmt.Sprint("127.0.0.1:", bound.(*syscall.SockaddrInet4).Port)
	opened, err := newProxyAt(address, target)
	if err != nil {
		return nil, err
	}
	return &replicaLink{address: address, target: target, proxy: opened}, nil
}

// bind returns a socket that is bound to the address and shares it with others that do not listen.
func bind(address *syscall.SockaddrInet4) (int, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(socket, address); err != nil {
		_ = syscall.Close(socket)
		return 0, err
	}
	return socket, nil
}

// cut breaks the link.
func (link *replicaLink) cut(fault linkFault) error {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	switch fault {
	case mute:
		link.endStall = link.proxy.begin(proxyFault{stalls: true})
		return nil
	case oneWay:
		link.endStall = link.proxy.begin(proxyFault{mutes: true})
		return nil
	case resetting:
		link.endStall = link.proxy.begin(proxyFault{refuses: true})
		link.proxy.resetAll()
		return nil
	}
	_ = link.proxy.listener.Close()
	if fault == refused {
		link.proxy.resetAll()
		return nil
	}
	link.endStall = link.proxy.begin(proxyFault{stalls: true})
	return link.openSilent()
}

// openSilent listens at the address with a full queue, so that attempts to connect get no answer.
func (link *replicaLink) openSilent() error {
	address, err := net.ResolveTCPAddr("tcp4", link.address)
	if err != nil {
		return err
	}
	bound := &syscall.SockaddrInet4{Port: address.Port}
	copy(bound.Addr[:], address.IP.To4())
	var socket int
	err = retry(func() (err error) {
		socket, err = bind(bound)
		return err
	})
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	link.closed = func() { _ = syscall.Close(socket) }
	if err := retry(func() error { return syscall.Listen(socket, 0) }); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	for range 2 {
		filler, err := net.DialTimeout("tcp", link.address, 20*time.Millisecond)
		if err != nil {
			break
		}
		link.fillers = append(link.fillers, filler)
	}
	return nil
}

// retry calls the function until it succeeds, for portTimeout at most: a listener that was closed goes on while it accepts a
// connection, or while a process that is being started has a copy of it.
func retry(apply func() error) error {
	err := apply()
	for end := time.Now().Add(portTimeout); err != nil && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		err = apply()
	}
	return err
}

// heal repairs the link.
func (link *replicaLink) heal() error {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.closed != nil {
		link.closed()
		link.closed = nil
	}
	for _, filler := range link.fillers {
		_ = filler.Close()
	}
	link.fillers = nil
	if link.endStall != nil {
		link.endStall()
		link.endStall = nil
	}
	// The listener of a link that accepted connections is still open.
	_ = link.proxy.listener.Close()
	link.proxy.resetAll()
	var listener net.Listener
	err := retry(func() (err error) {
		listener, err = net.Listen("tcp", link.address)
		return err
	})
	if err != nil {
		return err
	}
	link.proxy = newProxyOn(listener, link.target)
	go link.proxy.accept()
	return nil
}

// view is the store as one daemon sees it: the addresses of replicas are those of its own links.
type view struct {
	store *store

	mutex sync.Mutex
	links map[string]*replicaLink
}

// newView opens the links of one daemon to all replicas and returns its view of the store with the address at which it serves.
func (testbed *testbed) newView() (*view, string, error) {
	created := &view{store: testbed.store, links: map[string]*replicaLink{}}
	for _, replica := range testbed.replicas {
		next, err := newLink(replica.proxy.address())
		if err != nil {
			return nil, "", err
		}
		created.links[replica.proxy.address()] = next
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			created.store.ServeHTTP(&viewWriter{ResponseWriter: writer, view: created}, request)
		}))
	}()
	return created, listener.Addr().String(), nil
}

// each calls the function for each link.
func (view *view) each(apply func(link *replicaLink) error) error {
	for address, link := range view.links {
		if err := apply(link); err != nil {
			return fmt.Errorf("link to %s: %w", address, err)
		}
	}
	return nil
}

func newPart(store *store) *view {
	return &view{store: store, links: map[string]*replicaLink{}}
}

// some returns a view with the links that the function selects, to cut these only.
func (view *view) some(selected func(target string) bool) *view {
	part := newPart(view.store)
	for address, link := range view.links {
		if selected(link.target) {
			part.links[address] = link
		}
	}
	return part
}

// rewrite returns the row with the address of the daemon's own link.
func (view *view) rewrite(next row) row {
	if next.Table != "servers" || next.Deleted {
		return next
	}
	var content map[string]any
	if json.Unmarshal(next.Value, &content) != nil {
		return next
	}
	address, _ := content["address"].(string)
	if link, ok := view.links[address]; ok {
		content["address"] = link.address
		next.Value, _ = json.Marshal(content)
	}
	return next
}

// viewWriter is the response to a call of one daemon.
type viewWriter struct {
	http.ResponseWriter
	view *view
}

// TestCutWaitsForTheFormerListener guards against a cut that failed with "address already in use": the listener of the link was closed
// and went on for more than a second in processes that were being started, while the port was bound again.
func TestCutWaitsForTheFormerListener(t *testing.T) {
	link, err := newLink("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	file, err := link.proxy.listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(2*time.Second, func() { _ = file.Close() })
	if err := link.cut(hanging); err != nil {
		t.Error(err)
	}
	if err := link.heal(); err != nil {
		t.Error(err)
	}
	_ = link.proxy.listener.Close()
}
