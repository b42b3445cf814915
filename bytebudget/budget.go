package bytebudget

import (
	"errors"
	"sync"
)

// ErrShort ends a response that the budget has no room for.
var ErrShort = errors.New("the daemon holds too many bytes of responses that have not ended")

// Budget bounds the bytes held for the responses of all replicas together. It is safe for concurrent use. Use New.
type Budget struct {
	// limit is the number of bytes that may be held.
	limit int64

	mutex sync.Mutex
	// held is the sum of the bytes of all accounts that are open and have not been ended.
	held int64
	// holders maps replicas to the accounts of their responses.
	holders map[string]*holder
	// ended counts the responses that were ended for want of room.
	ended int64
}

// holder is one replica with responses that are being read.
type holder struct {
	// held is the sum of the bytes of its accounts, all of which may be ended.
	held     int64
	accounts map[*Account]bool
}

// New returns a budget of the number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[string]*holder{}}
}

// Account is what is held of one response. It is safe for concurrent use. Use Budget.Open, and Close when the bytes are dropped.
type Account struct {
	budget *Budget
	// key names the replica.
	key string
	// end ends the reading of the response.
	end func(cause error)
	// held is the number of bytes. reading is set while the response may be ended, and closed once the bytes no longer count.
	held            int64
	reading, closed bool
}

// Open returns the account of a response of the replica that the key names. end is called with ErrShort if the response has to be ended; it
// must not block.
func (budget *Budget) Open(key string, end func(cause error)) *Account {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	account := &Account{budget: budget, key: key, end: end, reading: true}
	if budget.holders[key] == nil {
		budget.holders[key] = &holder{accounts: map[*Account]bool{}}
	}
	budget.holders[key].accounts[account] = true
	return account
}

// Grow adds bytes to the account, which must not be kept. If the budget is short, it ends responses until there is room, or this one if
// there are no others. It fails with ErrShort if this response was ended.
func (account *Account) Grow(bytes int) error {
	budget := account.budget
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if account.closed {
		return ErrShort
	}
	account.held += int64(bytes)
	budget.held += int64(bytes)
	budget.holders[account.key].held += int64(bytes)
	for budget.held > budget.limit && !account.closed {
		budget.endLargest()
	}
	if account.closed {
		return ErrShort
	}
	return nil
}

// Keep states that the response was read whole: it is not ended any more, and its bytes count until Close. It fails with ErrShort if the
// response was ended.
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
	holder := account.budget.holders[account.key]
	holder.held -= account.held
	delete(holder.accounts, account)
	if len(holder.accounts) == 0 {
		delete(account.budget.holders, account.key)
	}
}

// endLargest ends the largest response of the replica that holds the most. The mutex is held, and an account may be ended.
func (budget *Budget) endLargest() {
	var most *holder
	for _, next := range budget.holders {
		if most == nil || next.held > most.held {
			most = next
		}
	}
	var largest *Account
	for account := range most.accounts {
		if largest == nil || account.held > largest.held {
			largest = account
		}
	}
	largest.drop()
	budget.ended++
	largest.end(ErrShort)
}

// Held returns the number of bytes held.
func (budget *Budget) Held() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.held
}

// Ended returns how many responses were ended for want of room.
func (budget *Budget) Ended() int64 {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	return budget.ended
}
