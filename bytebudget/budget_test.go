package bytebudget

import (
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// open returns an account, and whether it was ended.
func open(budget *Budget, key string) (account *Account, ended *bool) {
	ended = new(bool)
	return budget.Open(key, func(error) { *ended = true }), ended
}

// TestLargestOfTheLargestHolderYields guards against issue 55, the report of other operators: bytes without end, held for many requests.
func TestLargestOfTheLargestHolderYields(t *testing.T) {
	budget := New(100)
	sound, soundEnded := open(budget, "sound")
	small, smallEnded := open(budget, "faulty")
	large, largeEnded := open(budget, "faulty")
	for _, step := range []struct {
		account *Account
		bytes   int
	}{{sound, 40}, {small, 20}, {large, 30}} {
		if err := step.account.Grow(step.bytes); err != nil {
			t.Fatal(err)
		}
	}
	if err := sound.Grow(5); err != nil || *largeEnded {
		t.Errorf("a response that fits ends another one: %v, %v", err, *largeEnded)
	}
	if err := sound.Grow(4); err != nil || *largeEnded {
		t.Errorf("a response that fits ends another one: %v", err)
	}
	if err := small.Grow(2); err != nil || !*largeEnded || *smallEnded || *soundEnded {
		t.Errorf("ended: large %v, small %v, sound %v, %v; want the largest of the replica that holds the most", *largeEnded, *smallEnded, *soundEnded, err)
	}
	if err := large.Grow(1); !errors.Is(err, ErrShort) || budget.Held() != 71 || budget.Ended(Response) != 1 {
		t.Errorf("after its end a response grows: %v; %d bytes held, %d ended", err, budget.Held(), budget.Ended(Response))
	}
	for _, account := range []*Account{sound, small, large, large} {
		account.Close()
	}
	if budget.Held() != 0 || len(budget.holders) != 0 {
		t.Errorf("%d bytes and %d replicas are left", budget.Held(), len(budget.holders))
	}
}

// TestWholeResponsesAreNotEnded covers responses that wait for slow clients: they count, and those that still grow yield.
func TestWholeResponsesAreNotEnded(t *testing.T) {
	budget := New(100)
	whole, wholeEnded := open(budget, "a")
	if err := errors.Join(whole.Grow(90), whole.Keep()); err != nil {
		t.Fatal(err)
	}
	next, nextEnded := open(budget, "b")
	if err := next.Grow(20); !errors.Is(err, ErrShort) || *wholeEnded || !*nextEnded {
		t.Errorf("a response beyond the limit grows: %v; the whole one ended: %v", err, *wholeEnded)
	}
	whole.Close()
	if again, _ := open(budget, "b"); again.Grow(100) != nil {
		t.Error("there is no room after the whole response was delivered")
	}
}

// TestSlowestAndLeastCompleteBodyYields guards against part 6 of docs/HARD-LOAD.md: bodies that stop just short of their end.
func TestSlowestAndLeastCompleteBodyYields(t *testing.T) {
	now := time.Unix(100, 0)
	budget := New(1000)
	var ended []string
	body := func(name, address string, received int, last time.Time) *Account {
		account := budget.OpenBody(address, 1000, now, func(error) { ended = append(ended, name) })
		account.Received(received, last)
		if err := account.Grow(received); err != nil {
			t.Fatal(err)
		}
		return account
	}
	body("of another client", "b", 100, now)
	body("stopped", "a", 300, now.Add(-2*time.Second))
	body("begun", "a", 100, now)
	body("advanced", "a", 400, now)
	response, responseEnded := open(budget, "replica")
	for _, want := range [][]string{nil, {"stopped"}, {"stopped"}, {"stopped"}, {"stopped", "begun"}} {
		if err := response.Grow(100); err != nil || !slices.Equal(ended, want) {
			t.Fatalf("%v ended, want %v; %v", ended, want, err)
		}
	}
	if *responseEnded || budget.Ended(Body) != 2 || budget.Ended(Response) != 0 {
		t.Errorf("%d bodies and %d responses ended, want 2 and none", budget.Ended(Body), budget.Ended(Response))
	}
}

// TestSmallRequestsHaveRoom covers a budget that large requests have used up: small ones are still read, and end no others.
func TestSmallRequestsHaveRoom(t *testing.T) {
	now := time.Unix(100, 0)
	budget := New(8 << 20)
	large := budget.OpenBody("a", 7<<20, now, func(error) {})
	if err := errors.Join(large.Grow(7<<20), large.Keep()); err != nil {
		t.Fatal(err)
	}
	smallEnded := false
	small := budget.OpenBody("b", smallBytes, now, func(error) { smallEnded = true })
	if err := small.Grow(smallBytes); err != nil {
		t.Errorf("a small body has no room: %v", err)
	}
	next := budget.OpenBody("a", 1<<20, now, func(error) {})
	if err := next.Grow(1 << 20); !errors.Is(err, ErrShort) || smallEnded {
		t.Errorf("a large body beside large ones: %v, the small one ended: %v", err, smallEnded)
	}
}

// TestHeldBytesStayBelowTheLimit runs random schedules of replicas that send, end and stall.
func TestHeldBytesStayBelowTheLimit(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		budget := New(1000)
		accounts := map[*Account]*bool{}
		for range 2000 {
			account, ended := open(budget, string(rune('a'+random.IntN(4))))
			accounts[account] = ended
			for account := range accounts {
				switch random.IntN(6) {
				case 0:
					account.Close()
					delete(accounts, account)
				case 1:
					if account.reading {
						_ = account.Keep()
					}
				default:
					if err := growIfReading(account, random.IntN(200)); (err != nil) != *accounts[account] {
						t.Fatalf("seed %d: a response grows: %v, although it was ended: %v", seed, err, *accounts[account])
					}
				}
				if budget.Held() > 1000 || budget.Held() < 0 {
					t.Fatalf("seed %d: %d bytes held", seed, budget.Held())
				}
			}
		}
		for account := range accounts {
			account.Close()
		}
		if budget.Held() != 0 || len(budget.holders) != 0 {
			t.Errorf("seed %d: %d bytes are left", seed, budget.Held())
		}
	}
}

// growIfReading grows an account that is not kept.
func growIfReading(account *Account, bytes int) error {
	if !account.reading && !account.closed {
		return nil
	}
	return account.Grow(bytes)
}

// brokenReader breaks off after its content, as a response does that is shorter than it says.
type brokenReader struct{ io.Reader }

func (reader brokenReader) Read(into []byte) (int, error) {
	count, err := reader.Reader.Read(into)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

func TestRead(t *testing.T) {
	long := strings.Repeat("0123456789", 40_000)
	cases := []struct {
		name   string
		reader io.Reader
		limit  int64
		want   error
	}{
		{"empty", strings.NewReader(""), 10, nil},
		{"as long as it may be", strings.NewReader(long), int64(len(long)), nil},
		{"too long", strings.NewReader(long), int64(len(long)) - 1, ErrLong},
		{"broken off", brokenReader{strings.NewReader(long[:5000])}, int64(len(long)), io.ErrUnexpectedEOF},
		{"over the budget", strings.NewReader(strings.Repeat(long, 3)), 1 << 30, ErrShort},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			account, _ := open(New(1<<20), "a")
			pieces, err := Read(c.reader, c.limit, account)
			if !errors.Is(err, c.want) || (c.want == nil) != (err == nil) {
				t.Fatalf("failed with %v, want %v", err, c.want)
			}
			if content := string(slices.Concat(pieces...)); err == nil && c.limit > 10 && content != long {
				t.Errorf("read %d bytes, want %d", len(content), len(long))
			}
		})
	}
}
