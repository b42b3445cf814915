package residency

// Cause is why a plan has no order for a model that needs a copy.
type Cause string

// The causes of shortages.
const (
	// None means that there is an order.
	None Cause = ""
	// EngineBusy means that the engines that would load the model have orders in progress.
	EngineBusy Cause = "EngineBusy"
	// NoRoom means that no engine that could load the model has memory that may be freed for it.
	NoRoom Cause = "NoRoom"
	// StoreBusy means that the weight store serves no further load now.
	StoreBusy Cause = "StoreBusy"
	// NotLasting means that the demand will not last until a load from the weight store ends.
	NotLasting Cause = "NotLasting"
)

// Shortage is a model that needs copies and gets no order for them.
type Shortage struct {
	// Model is the name of the model.
	Model string
	// Missing is the number of copies.
	Missing int
	// Cause is why there is no order.
	Cause Cause
}

// noteShortage records that copies of the model are missing for the cause; None is ignored.
func (plan *plan) noteShortage(name string, missing int, cause Cause) {
	if cause != None {
		plan.shortages = append(plan.shortages, Shortage{Model: name, Missing: missing, Cause: cause})
	}
}
