package config

import (
	"net"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Feature names something that a configuration may ask for and that a daemon of an older
// build does not carry out. Its value is sent between processes.
type Feature string

// The features.
const (
	FeatureKeys   Feature = "keys"   // Calls need the API key of a team; see Config.Keyed.
	FeatureLimits Feature = "limits" // The rate of a team binds; see Team.Rate.
)

// Features returns the features that a daemon of this build carries out.
func Features() []Feature { return []Feature{FeatureKeys, FeatureLimits} }

// RequiredFeatures returns the features that a configuration requires, given whether it is
// Keyed and whether one of its teams has a Rate. Nil means none.
func RequiredFeatures(keyed, limited bool) []Feature {
	var required []Feature
	if keyed {
		required = append(required, FeatureKeys)
	}
	if limited {
		required = append(required, FeatureLimits)
	}
	return required
}

// Requires returns the features that a daemon must have to carry out the configuration.
// Nil means that daemons of any build carry it out.
func (c Config) Requires() []Feature {
	return RequiredFeatures(c.Keyed, slices.ContainsFunc(c.Teams, func(t Team) bool { return t.Rate > 0 }))
}

// MissingFeatures returns the features of required that are not among declared, or nil if
// there are none.
func MissingFeatures(required, declared []Feature) []Feature {
	var missing []Feature
	for _, f := range required {
		if !slices.Contains(declared, f) {
			missing = append(missing, f)
		}
	}
	return missing
}

// CommonFeatures returns the features that are in both lists, in the order of a.
func CommonFeatures(a, b []Feature) []Feature {
	var common []Feature
	for _, f := range a {
		if slices.Contains(b, f) {
			common = append(common, f)
		}
	}
	return common
}

// FeatureNames returns the features as a text, for errors and log lines.
func FeatureNames(features []Feature) string {
	names := make([]string, 0, len(features))
	for _, f := range features {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ")
}

// ErrUnsupported is matched, together with ErrInvalidConfig, by the errors of
// Config.CheckSupported and Object.CheckSupported.
var ErrUnsupported = errs.New("config: nothing carries out a part of the configuration")

// CheckSupported returns an error if the configuration asks for something that no build
// carries out. It is apart from Check since such a configuration may be in force, by a
// build that accepted it, and must stay readable.
func (c Config) CheckSupported() error {
	for _, s := range c.Services {
		if err := s.checkSupported(); err != nil {
			return err
		}
	}
	for _, t := range c.Teams {
		if err := t.checkSupported(); err != nil {
			return err
		}
	}
	for _, r := range c.Routes {
		if err := r.checkSupported(); err != nil {
			return err
		}
	}
	return nil
}

// CheckSupported returns an error if the object asks for something that no build carries
// out; see Config.CheckSupported. It returns nil for an object that Check rejects.
func (o Object) CheckSupported() error {
	if o.Key.Kind() != KindService {
		return nil
	}
	if value, err := o.Value(); err == nil {
		return value.(Service).checkSupported()
	}
	return nil
}

// checkSupported rejects the rate of a cold service: no daemon limits calls to upstreams
// that are cold.
func (s Service) checkSupported() error {
	if s.ColdRate > 0 {
		return errs.Combine(ErrUnsupported, invalidConfig("service "+s.Name, "coldRate (cold_per_s): calls to cold upstreams are not limited; want 0"))
	}
	return nil
}

// checkSupported rejects digests in another form than that of KeyDigest, which no key has.
func (t Team) checkSupported() error {
	for i, k := range t.Keys {
		if strings.ToLower(k) != k {
			return errs.Combine(ErrUnsupported, invalidConfig("team "+t.Name, "keys[%d] has capital letters, which no digest of a key has", i))
		}
	}
	return nil
}

// checkSupported rejects a host with a port: calls are matched by their host without it.
func (r HostRoute) checkSupported() error {
	if _, _, err := net.SplitHostPort(r.Host); err == nil {
		return errs.Combine(ErrUnsupported, invalidConfig("route "+r.Name, "host %q has a port; routes match hosts without one", r.Host))
	}
	return nil
}
