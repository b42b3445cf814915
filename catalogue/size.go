package catalogue

// Size is the number of entries of a catalogue by kind.
type Size struct {
	// Models is the number of models.
	Models int `json:"Models"`
	// Adapters is the number of adapters of all models.
	Adapters int `json:"Adapters"`
	// Services is the number of plain services.
	Services int `json:"Services"`
}
