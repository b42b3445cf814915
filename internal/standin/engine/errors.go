package engine

import "errors"

// errTransfer is the failure of a transfer from the weight store.
var errTransfer = errors.New("transfer failed")
