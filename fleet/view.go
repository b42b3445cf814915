package fleet

// View is what the daemon knew at one moment. It is immutable.
type View struct {
	known  []Known
	byName map[string]*Known
	places map[string][]Place
}

// Known returns every upstream in the order of names.
func (view *View) Known() []Known {
	return view.known
}

// Upstream returns one upstream by name.
func (view *View) Upstream(name string) (*Known, bool) {
	known, ok := view.byName[name]
	return known, ok
}

// Places returns the replicas of a model in any phase and version.
func (view *View) Places(model string) []Place {
	return view.places[model]
}

// Models calls visit for each model that has a replica in any phase.
func (view *View) Models(visit func(model string, places []Place)) {
	for model, places := range view.places {
		visit(model, places)
	}
}

func newView(known []Known) *View {
	view := &View{
		known:  known,
		byName: make(map[string]*Known, len(known)),
		places: make(map[string][]Place, len(known)),
	}
	for index := range known {
		view.add(&known[index])
	}
	return view
}

func (view *View) add(known *Known) {
	view.byName[known.Member.Name] = known
	for _, replica := range known.State.Replicas {
		view.places[replica.Model] = append(view.places[replica.Model], Place{Known: known, Replica: replica})
	}
}
