package config_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// validConfig returns a configuration that passes Check.
func validConfig() config.Config {
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

// Each single fault in a valid configuration must be reported.
func TestConfigCheckReportsFaults(t *testing.T) {
	require.NoError(t, validConfig().Check())
	for name, invalidate := range map[string]func(*config.Config){
		"no version":                func(c *config.Config) { c.Version = 0 },
		"unknown service":           func(c *config.Config) { c.Routes[0].Split[1].Service = "other" },
		"duplicate host and prefix": func(c *config.Config) { c.Routes[1].Host = "a.example" },
		"no weight":                 func(c *config.Config) { c.Routes[1].Split[0].Weight = 0 },
		"negative weight":           func(c *config.Config) { c.Routes[0].Split[1].Weight = -1 },
		"excessive timeout":         func(c *config.Config) { c.Routes[0].Timeout = config.Duration(10*time.Minute + 1) },
		"no timeout":                func(c *config.Config) { c.Routes[0].Timeout = 0 },
		"no attempts":               func(c *config.Config) { c.Routes[0].Attempts = 0 },
		"no host":                   func(c *config.Config) { c.Routes[0].Host = "" },
		"bad prefix":                func(c *config.Config) { c.Routes[0].Prefix = "/x" },
		"unknown repeat":            func(c *config.Config) { c.Routes[0].Repeat = "sometimes" },
		"no service":                func(c *config.Config) { c.Routes[0].Split = nil },
		"duplicate service":         func(c *config.Config) { c.Services = append(c.Services, c.Services[0]) },
		"empty service name":        func(c *config.Config) { c.Services[0].Name = "" },
		"negative idle time":        func(c *config.Config) { c.Limits.IdleTime = -1 },
		"negative header time":      func(c *config.Config) { c.Limits.HeaderTime = -1 },
		"negative header size":      func(c *config.Config) { c.Limits.HeaderBytes = -1 },
		"negative body size":        func(c *config.Config) { c.Limits.BodyBytes = -1 },
		"weights without a sum":     func(c *config.Config) { c.Routes[0].Split[0].Weight, c.Routes[0].Split[1].Weight = 1e308, 1e308 },
		"weight that is no number":  func(c *config.Config) { c.Routes[0].Split[0].Weight = math.NaN() },
		"negative connections":      func(c *config.Config) { c.Services[0].Connections = -1 },
		"unknown deadline":          func(c *config.Config) { c.Services[0].Deadline = "never" },
		"odd version":               func(c *config.Config) { c.Services[0].Version = "V 1" },
		"same key of two routes": func(c *config.Config) {
			c.Routes[0].Host, c.Routes[0].Prefix = "a\x00/b/", "/c/"
			c.Routes[1].Host, c.Routes[1].Prefix = "a", "/b/\x00/c/"
		},
		"negative objective": func(c *config.Config) { c.Routes[0].Objective = -1 },
	} {
		c := validConfig()
		invalidate(&c)
		require.ErrorIs(t, c.Check(), config.ErrInvalidConfig, name)
	}
}

// Decoding and encoding an object of a configuration must not change it. The
// key of a route must depend on its host and prefix only.
func TestConfigObjectsAreCanonical(t *testing.T) {
	objects, err := validConfig().Objects()
	require.NoError(t, err)
	require.Len(t, objects, 5)
	keys := map[config.Key]bool{}
	for _, o := range objects {
		require.True(t, o.Key.Valid(), o.Key)
		value, err := o.Value()
		require.NoError(t, err)
		reencoded, err := config.MakeObject(value)
		require.NoError(t, err)
		require.Equal(t, o, reencoded)
		keys[o.Key] = true
	}
	require.Len(t, keys, 5)
	renamed := validConfig().Routes[0]
	renamed.Name, renamed.Attempts = "renamed", 9
	require.True(t, keys[renamed.Key()])
}

// A duration that cannot be read back must not be written.
func TestDurationsAreWrittenOnlyIfReadable(t *testing.T) {
	for _, d := range []config.Duration{math.MinInt64, -1, 0, 1, config.Duration(time.Hour), math.MaxInt64} {
		text, err := d.MarshalText()
		require.Equal(t, d > 0, err == nil, d)
		if err == nil {
			var read config.Duration
			require.NoError(t, read.UnmarshalText(text))
			require.Equal(t, d, read)
		}
	}
}

func ExampleConfig_Check() {
	c := config.Config{Version: 1, Routes: []config.HostRoute{{
		Name: "look", Host: "a.example", Prefix: "/look/", Repeat: config.RepeatSafe,
		Timeout: config.Duration(time.Second), Attempts: 1, Split: []config.Destination{{Service: "board", Weight: 1}},
	}}}
	fmt.Println(c.Check())
	// Output: config: the configuration is not sound; routes[0] (look): service "board" does not exist
}
