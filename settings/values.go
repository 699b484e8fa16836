package settings

import (
	"flag"
	"fmt"
	"strings"
)

// lenient is a flag's value that keeps a fault rather than ending the parse,
// so that all faults can be named at once.
type lenient struct {
	flag.Value
	name   string
	faults *[]error
}

// Set implements flag.Value.
func (l *lenient) Set(s string) error {
	if err := l.Value.Set(s); err != nil {
		*l.faults = append(*l.faults, fmt.Errorf("-%s %q is not valid (%v): correct it, or leave it out for the default", l.name, s, err))
	}
	return nil
}

// String implements flag.Value; the flag package calls it on a zero lenient.
func (l *lenient) String() string {
	if l.Value == nil {
		return ""
	}
	return l.Value.String()
}

// IsBoolFlag lets a boolean flag stand without a value.
func (l *lenient) IsBoolFlag() bool {
	b, ok := l.Value.(interface{ IsBoolFlag() bool })
	return ok && b.IsBoolFlag()
}

// collectFaults makes the flags keep the faults of their values.
func collectFaults(fs *flag.FlagSet) *[]error {
	faults := new([]error)
	fs.VisitAll(func(f *flag.Flag) { f.Value = &lenient{Value: f.Value, name: f.Name, faults: faults} })
	return faults
}

// unknownVariables reports the environment variables with our prefix that no
// flag reads.
func unknownVariables(fs *flag.FlagSet, environ []string) []error {
	known := make(map[string]bool)
	fs.VisitAll(func(f *flag.Flag) { known[variable(f.Name)] = true })
	var faults []error
	for _, kv := range environ {
		name, _, _ := strings.Cut(kv, "=")
		if strings.HasPrefix(name, EnvPrefix+"_") && !known[name] {
			faults = append(faults, fmt.Errorf("environment variable %s is no setting: correct its name, or unset it; see carawayd -h", name))
		}
	}
	return faults
}

// variable returns the environment variable of a flag.
func variable(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}
