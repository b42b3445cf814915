package catalogue

// Apply returns the catalogue after the change. If the change does not fit, it returns a *ChangeError and the
// unchanged catalogue. Withdrawals are applied first, then models, adapters and services. Each list of models or
// services is copied at most once, and the adapter list of a model once for each change to it, which costs 8 to 24
// bytes for each entry of the list. All other data is shared.
func (catalogue Catalogue) Apply(change Change) (Catalogue, error) {
	builder := &builder{
		models:    listEditor[modelEntry]{list: catalogue.models},
		services:  listEditor[Service]{list: catalogue.services},
		adapters:  catalogue.adapters,
		withdrawn: catalogue.withdrawn,
	}
	for _, step := range []func(Change) error{builder.withdraw, builder.changeModels, builder.changeAdapters, builder.changeServices} {
		if err := step(change); err != nil {
			return catalogue, err
		}
	}
	return Catalogue{
		models:    builder.models.list,
		services:  builder.services.list,
		adapters:  builder.adapters,
		withdrawn: builder.withdrawn,
		unknown:   catalogue.unknown,
	}, nil
}

// builder holds the parts of the new catalogue while a change is applied.
type builder struct {
	models    listEditor[modelEntry]
	services  listEditor[Service]
	adapters  int
	withdrawn withdrawals
}

func (builder *builder) adapterEntry(name AdapterName) *adapterEntry {
	model := builder.models.Get(name.Model)
	if model == nil {
		return nil
	}
	return model.adapters.Get(name.Name)
}

func (builder *builder) withdraw(change Change) error {
	for _, name := range change.Adapters.Withdrawn {
		if err := builder.withdrawAdapter(name); err != nil {
			return err
		}
	}
	for _, name := range change.Models.Withdrawn {
		if err := builder.withdrawModel(name); err != nil {
			return err
		}
	}
	for _, name := range change.Services.Withdrawn {
		if err := builder.withdrawService(name); err != nil {
			return err
		}
	}
	return nil
}

func (builder *builder) withdrawAdapter(name AdapterName) error {
	entry := EntryName{Kind: AdapterKind, Name: name.String()}
	if builder.adapterEntry(name) == nil {
		return &ChangeError{Entry: entry, Fault: Absent}
	}
	model := *builder.models.Get(name.Model)
	model.adapters = model.adapters.Without(name.Name)
	builder.models.Put(name.Model, &model)
	builder.adapters--
	builder.withdrawn = builder.withdrawn.with(entry)
	return nil
}

func (builder *builder) withdrawModel(name string) error {
	entry := EntryName{Kind: ModelKind, Name: name}
	model := builder.models.Get(name)
	if model == nil {
		return &ChangeError{Entry: entry, Fault: Absent}
	}
	if model.adapters.Len() > 0 {
		return &ChangeError{Entry: entry, Fault: HasAdapters}
	}
	builder.models.Remove(name)
	builder.withdrawn = builder.withdrawn.with(entry)
	return nil
}

func (builder *builder) withdrawService(name string) error {
	entry := EntryName{Kind: ServiceKind, Name: name}
	if builder.services.Get(name) == nil {
		return &ChangeError{Entry: entry, Fault: Absent}
	}
	builder.services.Remove(name)
	builder.withdrawn = builder.withdrawn.with(entry)
	return nil
}

func (builder *builder) changeModels(change Change) error {
	for _, model := range change.Models.Added {
		entry := EntryName{Kind: ModelKind, Name: model.Name}
		if builder.models.Get(model.Name) != nil {
			return &ChangeError{Entry: entry, Fault: Exists}
		}
		builder.models.Put(model.Name, &modelEntry{model: model})
		builder.withdrawn = builder.withdrawn.without(entry)
	}
	for _, model := range change.Models.Changed {
		current := builder.models.Get(model.Name)
		if current == nil {
			return &ChangeError{Entry: EntryName{Kind: ModelKind, Name: model.Name}, Fault: Absent}
		}
		changed := &modelEntry{model: model, previous: &current.model, adapters: current.adapters, unknown: current.unknown}
		builder.models.Put(model.Name, changed)
	}
	return nil
}

func (builder *builder) changeAdapters(change Change) error {
	for _, adapter := range change.Adapters.Added {
		if err := builder.addAdapter(adapter); err != nil {
			return err
		}
	}
	for _, adapter := range change.Adapters.Changed {
		current := builder.adapterEntry(adapter.FullName())
		if current == nil {
			return &ChangeError{Entry: EntryName{Kind: AdapterKind, Name: adapter.FullName().String()}, Fault: Absent}
		}
		builder.putAdapter(&adapterEntry{adapter: adapter, previous: &current.adapter, unknown: current.unknown})
	}
	return nil
}

func (builder *builder) addAdapter(adapter Adapter) error {
	entry := EntryName{Kind: AdapterKind, Name: adapter.FullName().String()}
	if builder.models.Get(adapter.Model) == nil {
		return &ChangeError{Entry: entry, Fault: NoModel}
	}
	if builder.adapterEntry(adapter.FullName()) != nil {
		return &ChangeError{Entry: entry, Fault: Exists}
	}
	builder.putAdapter(&adapterEntry{adapter: adapter})
	builder.adapters++
	builder.withdrawn = builder.withdrawn.without(entry)
	return nil
}

func (builder *builder) putAdapter(adapter *adapterEntry) {
	name := adapter.adapter.FullName()
	model := *builder.models.Get(name.Model)
	model.adapters = model.adapters.With(name.Name, adapter)
	builder.models.Put(name.Model, &model)
}

func (builder *builder) changeServices(change Change) error {
	for _, service := range change.Services.Added {
		entry := EntryName{Kind: ServiceKind, Name: service.Name}
		if builder.services.Get(service.Name) != nil {
			return &ChangeError{Entry: entry, Fault: Exists}
		}
		builder.services.Put(service.Name, &service)
		builder.withdrawn = builder.withdrawn.without(entry)
	}
	for _, service := range change.Services.Changed {
		if builder.services.Get(service.Name) == nil {
			return &ChangeError{Entry: EntryName{Kind: ServiceKind, Name: service.Name}, Fault: Absent}
		}
		builder.services.Put(service.Name, &service)
	}
	return nil
}
