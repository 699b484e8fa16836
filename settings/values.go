package settings

import (
	"flag"
	"fmt"
	"strings"
)

// errorCollector is a flag.Value that collects the error of an invalid value instead
// of ending the parse, so that all errors can be reported together.
type errorCollector struct {
	flag.Value
	name string
	errs *[]error
}

// Set implements flag.Value. It always returns nil.
func (c *errorCollector) Set(s string) error {
	if err := c.Value.Set(s); err != nil {
		*c.errs = append(*c.errs, fmt.Errorf("-%s %q is not valid (%v): correct it, or leave it out for the default", c.name, s, err))
	}
	return nil
}

// String implements flag.Value; the flag package calls it on a zero errorCollector.
func (c *errorCollector) String() string {
	if c.Value == nil {
		return ""
	}
	return c.Value.String()
}

// IsBoolFlag reports whether the flag is boolean, so that the flag package accepts
// it without a value.
func (c *errorCollector) IsBoolFlag() bool {
	b, ok := c.Value.(interface{ IsBoolFlag() bool })
	return ok && b.IsBoolFlag()
}

// collectValueErrors wraps the values of all flags in an errorCollector, and returns
// the list to which they add their errors.
func collectValueErrors(fs *flag.FlagSet) *[]error {
	errs := new([]error)
	fs.VisitAll(func(f *flag.Flag) { f.Value = &errorCollector{Value: f.Value, name: f.Name, errs: errs} })
	return errs
}

// unknownVariables returns an error for each environment variable that has EnvPrefix
// but belongs to no flag.
func unknownVariables(fs *flag.FlagSet, environ []string) []error {
	known := make(map[string]bool)
	fs.VisitAll(func(f *flag.Flag) { known[envVariable(f.Name)] = true })
	var errs []error
	for _, kv := range environ {
		name, _, _ := strings.Cut(kv, "=")
		if strings.HasPrefix(name, EnvPrefix+"_") && !known[name] {
			errs = append(errs, fmt.Errorf("environment variable %s is not a setting: correct its name, or unset it; see carawayd -h", name))
		}
	}
	return errs
}

// envVariable returns the name of the environment variable of a flag.
func envVariable(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
