package measure

// experiments returns all experiments. A new experiment must be added here.
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

func findExperiment(name string) (Experiment, error) {
	for _, x := range experiments() {
		if x.Name() == name {
			return x, nil
		}
	}
	return nil, Error.New("no experiment named %q", name)
}
