package experiment

import (
	"embed"

	"github.com/go-faster/errors"
)

//go:embed scenarios/*.json
var scenarioFiles embed.FS

// BuiltInScenarios returns the scenarios that come with the program, by name.
func BuiltInScenarios() ([]Scenario, error) {
	entries, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil, errors.Wrap(err, "list scenarios")
	}
	var list []Scenario
	for _, e := range entries {
		f, err := scenarioFiles.Open("scenarios/" + e.Name())
		if err != nil {
			return nil, errors.Wrap(err, "open scenario")
		}
		s, err := ReadScenario(f)
		f.Close()
		if err != nil {
			return nil, errors.Wrap(err, e.Name())
		}
		list = append(list, s)
	}
	return list, nil
}
