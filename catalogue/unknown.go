package catalogue

import "github.com/bronzestall/bronzestall/internal/openjson"

// The methods of this file let entries and changes keep the members that only a later build knows, so that this build hands them on.

// UnmarshalJSON decodes the model and keeps the members that it does not know.
func (model *Model) UnmarshalJSON(content []byte) (err error) {
	type plain Model
	model.Unknown, err = openjson.Decode(content, (*plain)(model))
	return err
}

// MarshalJSON encodes the model with the members that were unknown when it was decoded.
func (model Model) MarshalJSON() ([]byte, error) {
	type plain Model
	return openjson.Encode(plain(model), model.Unknown)
}

// UnmarshalJSON decodes the adapter and keeps the members that it does not know.
func (adapter *Adapter) UnmarshalJSON(content []byte) (err error) {
	type plain Adapter
	adapter.Unknown, err = openjson.Decode(content, (*plain)(adapter))
	return err
}

// MarshalJSON encodes the adapter with the members that were unknown when it was decoded.
func (adapter Adapter) MarshalJSON() ([]byte, error) {
	type plain Adapter
	return openjson.Encode(plain(adapter), adapter.Unknown)
}

// UnmarshalJSON decodes the name and keeps the members that it does not know.
func (name *AdapterName) UnmarshalJSON(content []byte) (err error) {
	type plain AdapterName
	name.Unknown, err = openjson.Decode(content, (*plain)(name))
	return err
}

// MarshalJSON encodes the name with the members that were unknown when it was decoded.
func (name AdapterName) MarshalJSON() ([]byte, error) {
	type plain AdapterName
	return openjson.Encode(plain(name), name.Unknown)
}

// UnmarshalJSON decodes the service and keeps the members that it does not know.
func (service *Service) UnmarshalJSON(content []byte) (err error) {
	type plain Service
	service.Unknown, err = openjson.Decode(content, (*plain)(service))
	return err
}

// MarshalJSON encodes the service with the members that were unknown when it was decoded.
func (service Service) MarshalJSON() ([]byte, error) {
	type plain Service
	return openjson.Encode(plain(service), service.Unknown)
}

// UnmarshalJSON decodes the call and keeps the members that it does not know.
func (call *Call) UnmarshalJSON(content []byte) (err error) {
	type plain Call
	call.Unknown, err = openjson.Decode(content, (*plain)(call))
	return err
}

// MarshalJSON encodes the call with the members that were unknown when it was decoded.
func (call Call) MarshalJSON() ([]byte, error) {
	type plain Call
	return openjson.Encode(plain(call), call.Unknown)
}

// UnmarshalJSON decodes the changes and keeps the members that it does not know.
func (changes *Changes[T, N]) UnmarshalJSON(content []byte) (err error) {
	type plain Changes[T, N]
	changes.Unknown, err = openjson.Decode(content, (*plain)(changes))
	return err
}

// MarshalJSON encodes the changes with the members that were unknown when it was decoded.
func (changes Changes[T, N]) MarshalJSON() ([]byte, error) {
	type plain Changes[T, N]
	return openjson.Encode(plain(changes), changes.Unknown)
}
