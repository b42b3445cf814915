package keepwarm

import (
	"google.golang.org/protobuf/proto"

	"github.com/bronzestall/bronzestall/keepwarm/statisticspb"
)

// keepUnknownHistory adds to the encoded history what a later build stored for the model and this one does not know.
func keepUnknownHistory(encoded, stored *statisticspb.History) {
	keepUnknownFields(encoded, stored)
	keepUnknownAges(encoded.GetAges(), stored.GetAges())
}

// keepUnknownAges adds to the encoded counts those of unknown age classes and unknown fields.
func keepUnknownAges(encoded, stored *statisticspb.Ages) {
	if stored == nil {
		return
	}
	keepUnknownFields(encoded, stored)
	ends, risk := stored.GetEnds(), stored.GetRisk()
	for index, class := range stored.GetClasses() {
		if class >= ageClasses && index < len(ends) && index < len(risk) {
			encoded.Classes = append(encoded.Classes, class)
			encoded.Ends = append(encoded.Ends, ends[index])
			encoded.Risk = append(encoded.Risk, risk[index])
		}
	}
}

// keepUnknownFields sets the unknown fields of the encoded message to those of the stored one.
func keepUnknownFields(encoded, stored proto.Message) {
	encoded.ProtoReflect().SetUnknown(stored.ProtoReflect().GetUnknown())
}
