package config_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/endivewalk/endivewalk/pkg/config"
)

// keyedConfig returns a valid configuration with two teams.
func keyedConfig() config.Config {
	c := validConfig()
	c.Keyed = true
	c.Teams = []config.Team{
		{Name: "depot", Keys: []string{config.KeyDigest("k1"), config.KeyDigest("k2")}, Rate: 4, Burst: 4},
		{Name: "ward", Keys: []string{config.KeyDigest("k3")}},
	}
	return c
}

// Each single fault of a team must be reported, and no message may quote a key.
func TestTeamFaultsAreReported(t *testing.T) {
	require.NoError(t, keyedConfig().Check())
	for name, invalidate := range map[string]func(*config.Config){
		"shared key":             func(c *config.Config) { c.Teams[1].Keys[0] = c.Teams[0].Keys[1] },
		"name stands twice":      func(c *config.Config) { c.Teams[1].Name = "depot" },
		"no name":                func(c *config.Config) { c.Teams[1].Name = "" },
		"empty key":              func(c *config.Config) { c.Teams[1].Keys[0] = "" },
		"key that is no digest":  func(c *config.Config) { c.Teams[1].Keys[0] = "k3" },
		"negative rate":          func(c *config.Config) { c.Teams[0].Rate = -1 },
		"rate that is no number": func(c *config.Config) { c.Teams[0].Rate = math.NaN() },
		"negative burst":         func(c *config.Config) { c.Teams[0].Burst = -1 },
		"negative priority":      func(c *config.Config) { p := -1; c.Teams[0].Priority = &p },
		"not keyed":              func(c *config.Config) { c.Keyed = false },
		"negative cold rate":     func(c *config.Config) { c.Services[0].ColdRate = -1 },
		"negative cold time":     func(c *config.Config) { c.Services[0].ColdTime = -1 },
	} {
		c := keyedConfig()
		invalidate(&c)
		err := c.Check()
		require.ErrorIs(t, err, config.ErrInvalidConfig, name)
		require.NotContains(t, err.Error(), config.KeyDigest("k2"), name)
	}
}

// Teams must be part of the objects, in canonical form.
func TestTeamObjectsAreCanonical(t *testing.T) {
	objects, err := keyedConfig().Objects()
	require.NoError(t, err)
	require.Len(t, objects, 7)
	for _, o := range objects {
		require.True(t, o.Key.Valid(), o.Key)
		require.NoError(t, o.Check())
	}
}

func ExampleKeyDigest() {
	fmt.Println(config.KeyDigest("secret")[:16])
	// Output: 2bb80d537b1da3e3
}

// Guards against a digest that is accepted and that no key has.
func TestDigestInCapitalsIsRefused(t *testing.T) {
	c := config.Config{Version: 1, Keyed: true, Teams: []config.Team{{Name: "a", Keys: []string{strings.ToUpper(config.KeyDigest("k"))}}}}
	require.ErrorIs(t, c.CheckSupported(), config.ErrUnsupported)
}
