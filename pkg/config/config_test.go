package config_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/pkg/config"
)

func soundWhole() config.Config {
	return config.Config{
		Version:  3,
		Services: []config.Service{{Name: "stock", Deadline: config.DeadlineRollBack}, {Name: "desk", Deadline: config.DeadlineRollBack}},
		Routes: []config.HostRoute{
			{
				Name: "r1", Host: "a.example", Prefix: "/x/", Repeat: config.RepeatSafe, Timeout: config.Duration(time.Second),
				Attempts: 2, Split: []config.Destination{{Service: "stock", Weight: 90}, {Service: "desk", Weight: 10}},
			},
			{
				Name: "r2", Host: "b.example", Prefix: "/x/", Repeat: config.RepeatNever, Timeout: config.Duration(time.Second),
				Attempts: 1, Split: []config.Destination{{Service: "desk", Weight: 1}},
			},
		},
	}
}

func TestWholeCheck(t *testing.T) {
	require.NoError(t, soundWhole().Check())
	for name, spoil := range map[string]func(*config.Config){
		"no version":       func(w *config.Config) { w.Version = 0 },
		"unknown service":  func(w *config.Config) { w.Routes[0].Split[1].Service = "other" },
		"same place":       func(w *config.Config) { w.Routes[1].Host = "a.example" },
		"no weight":        func(w *config.Config) { w.Routes[1].Split[0].Weight = 0 },
		"negative weight":  func(w *config.Config) { w.Routes[0].Split[1].Weight = -1 },
		"long timeout":     func(w *config.Config) { w.Routes[0].Timeout = config.Duration(10*time.Minute + 1) },
		"no timeout":       func(w *config.Config) { w.Routes[0].Timeout = 0 },
		"no attempts":      func(w *config.Config) { w.Routes[0].Attempts = 0 },
		"no host":          func(w *config.Config) { w.Routes[0].Host = "" },
		"bad prefix":       func(w *config.Config) { w.Routes[0].Prefix = "/x" },
		"unknown repeat":   func(w *config.Config) { w.Routes[0].Repeat = "sometimes" },
		"no service":       func(w *config.Config) { w.Routes[0].Split = nil },
		"service twice":    func(w *config.Config) { w.Services = append(w.Services, w.Services[0]) },
		"no service name":  func(w *config.Config) { w.Services[0].Name = "" },
		"objective before": func(w *config.Config) { w.Routes[0].Objective = -1 },
	} {
		w := soundWhole()
		spoil(&w)
		require.ErrorIs(t, w.Check(), config.ErrInvalidConfig, name)
	}
}

// Objects of a whole configuration are canonical, and routes are told apart by
// host and prefix alone.
func TestWholeObjects(t *testing.T) {
	objects, err := soundWhole().Objects()
	require.NoError(t, err)
	require.Len(t, objects, 5)
	keys := map[config.Key]bool{}
	for _, o := range objects {
		require.True(t, o.Key.Valid(), o.Key)
		value, err := o.Value()
		require.NoError(t, err)
		again, err := config.MakeObject(value)
		require.NoError(t, err)
		require.Equal(t, o, again)
		keys[o.Key] = true
	}
	require.Len(t, keys, 5)
	moved := soundWhole().Routes[0]
	moved.Name, moved.Attempts = "renamed", 9
	require.True(t, keys[moved.Key()])
}

func ExampleConfig_Check() {
	w := config.Config{Version: 1, Routes: []config.HostRoute{{
		Name: "look", Host: "a.example", Prefix: "/look/", Repeat: config.RepeatSafe,
		Timeout: config.Duration(time.Second), Attempts: 1, Split: []config.Destination{{Service: "board", Weight: 1}},
	}}}
	fmt.Println(w.Check())
	// Output: config: the configuration is not sound; routes[0] (look): service "board" does not exist
}
