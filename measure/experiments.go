package measure

// experiments lists every experiment by its name. Add yours here.
func experiments() []Experiment {
	return []Experiment{
		detection{},
		routingChoice{},
		overload{},
		domainLoss{},
		hedged{},
		limit{},
	}
}

func find(name string) (Experiment, error) {
	for _, x := range experiments() {
		if x.Name() == name {
			return x, nil
		}
	}
	return nil, Error.New("no experiment named %q", name)
}
