package bytebudget

import (
	"errors"
	"sync"
	"time"
)

// ErrShort ends a response or a body that the budget has no room for.
var ErrShort = errors.New("the daemon holds too many bytes of requests and responses that have not ended")

const (
	// smallBytes is the largest size, in bytes, up to which an account may use the last part, limit/reserveDivisor, of the budget, so that
	// ordinary requests have room while large ones have used up theirs.
	smallBytes     = 64 << 10
	reserveDivisor = 8
)

// Kind tells what an account holds.
type Kind int

// The kinds of accounts.
const (
	// Response is a response of a replica.
	Response Kind = iota
	// Body is the body of a client's request.
	Body
	kinds
)

// Budget bounds the bytes held for the responses of all replicas and the bodies of all clients together. It is safe for concurrent use.
// Use New.
type Budget struct {
	// limit is the number of bytes that may be held.
	limit int64

	mutex sync.Mutex
	// held is the sum of the bytes of all accounts that are open and have not been ended.
	held int64
	// reading is the part of held in accounts of each kind that may be ended.
	reading [kinds]int64
	// holders maps replicas and client addresses to their accounts.
	holders map[source]*holder
	// ended counts the accounts of each kind that were ended for want of room.
	ended [kinds]int64
}

// source is a replica or a client address.
type source struct {
	kind Kind
	key  string
}

// holder is one source with accounts that may be ended.
type holder struct {
	// held is the sum of the bytes of its accounts, all of which may be ended.
	held     int64
	accounts map[*Account]bool
}

// New returns a budget of the number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[source]*holder{}}
}

// Account is what is held of one response or body. It is safe for concurrent use. Use Budget.Open or Budget.OpenBody, and Close when the
// bytes are dropped.
type Account struct {
	budget *Budget
	source source
	// end ends the reading.
	end func(cause error)
	// progress is that of a body; zero for a response.
	progress progress
	// held is the number of bytes. reading is set while the response may be ended, and closed once the bytes no longer count.
	held            int64
	reading, closed bool
}

// Open returns the account of a response of the replica that the key names. end is called with ErrShort if the response has to be ended; it
// must not block.
func (budget *Budget) Open(key string, end func(cause error)) *Account {
	return budget.open(source{Response, key}, end, progress{})
}

// OpenBody returns the account of a body from the client address, of which so many bytes are expected. end is called with ErrShort if the
// body has to be ended; it must not block.
func (budget *Budget) OpenBody(address string, expected int64, now time.Time, end func(cause error)) *Account {
	return budget.open(source{Body, address}, end, progress{expected: expected, last: now})
}

func (budget *Budget) open(from source, end func(cause error), state progress) *Account {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	account := &Account{budget: budget, source: from, end: end, progress: state, reading: true}
	if budget.holders[from] == nil {
		budget.holders[from] = &holder{accounts: map[*Account]bool{}}
	}
	budget.holders[from].accounts[account] = true
	return account
}

// Grow adds bytes to the account, which must not be kept. If the budget is short, it ends others until there is room, or this one if that
// gives none. It fails with ErrShort if this one was ended.
func (account *Account) Grow(bytes int) error {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if account.closed {
		return ErrShort
	}
	account.add(int64(bytes))
	limit := budget.limit
	if account.held > smallBytes {
		limit -= limit / reserveDivisor
	}
	for budget.held > limit && !account.closed {
		budget.endOne(account, limit)
	}
	if account.closed {
		return ErrShort
	}
	return nil
}

// Shrink takes bytes, which were dropped, from the account before Keep.
func (account *Account) Shrink(bytes int) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	if !account.closed {
		account.add(-int64(bytes))
	}
}

// add adds to the bytes of an account that may be ended. The mutex is held.
func (account *Account) add(bytes int64) {
	account.held += bytes
	account.budget.held += bytes
	account.budget.reading[account.source.kind] += bytes
	account.budget.holders[account.source].held += bytes
}

// Received records that bytes of the body came.
func (account *Account) Received(bytes int, now time.Time) {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.progress = account.progress.withBytes(int64(bytes), now)
}

// Keep states that all was read: the account is not ended any more, and its bytes count until Close. It fails with ErrShort if it was
// ended.
func (account *Account) Keep() error {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	if account.closed {
		return ErrShort
	}
	account.leave()
	return nil
}

// Close drops the bytes of the account.
func (account *Account) Close() {
	account.budget.mutex.Lock()
	defer account.budget.mutex.Unlock()
	account.drop()
}

// drop is Close. The mutex is held.
func (account *Account) drop() {
	account.leave()
	if !account.closed {
		account.closed = true
		account.budget.held -= account.held
	}
}

// leave removes the account from those that may be ended. The mutex is held.
func (account *Account) leave() {
	if !account.reading {
		return
	}
	account.reading = false
	account.budget.reading[account.source.kind] -= account.held
	holder := account.budget.holders[account.source]
	holder.held -= account.held
	delete(holder.accounts, account)
	if len(holder.accounts) == 0 {
		delete(account.budget.holders, account.source)
	}
}

// endOne ends one account: that which grows if what cannot be ended leaves no room for it, else one of the source that holds the most, of
// the kind that holds the most. The mutex is held.
func (budget *Budget) endOne(growing *Account, limit int64) {
	victim := growing
	if kept := budget.held - budget.reading[Response] - budget.reading[Body]; kept+growing.held <= limit {
		victim = budget.largestHolder().first()
	}
	victim.drop()
	budget.ended[victim.source.kind]++
	victim.end(ErrShort)
}

// largestHolder returns the source that holds the most, of the kind that holds the most. The mutex is held, and an account may be ended.
func (budget *Budget) largestHolder() *holder {
	kind := Response
	if budget.reading[Body] > budget.reading[Response] {
		kind = Body
	}
	var most *holder
	for from, next := range budget.holders {
		if from.kind == kind && (most == nil || next.held > most.held) {
			most = next
		}
	}
	return most
}

// first returns the account of the source that is to end first. The mutex is held.
func (holder *holder) first() *Account {
	var first *Account
	for account := range holder.accounts {
		if first == nil || account.endsBefore(first) {
			first = account
		}
	}
	return first
}

// endsBefore reports whether the account is to end before another one of its source: the larger response, or the body that is slower or
// less complete. Accounts that hold nothing give no room.
func (account *Account) endsBefore(other *Account) bool {
	if account.source.kind == Response || account.held == 0 || other.held == 0 {
		return account.held > other.held
	}
	return account.progress.behind(other.progress)
}

// Held returns the number of bytes held.
func (budget *Budget) Held() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.held
}

// Ended returns how many accounts of the kind were ended for want of room.
func (budget *Budget) Ended(kind Kind) int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.ended[kind]
}
