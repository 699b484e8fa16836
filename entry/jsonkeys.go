package entry

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"strings"

	"github.com/carawaylanding/carawaylanding/contract"
)

// The keys of a job and of its tasks, in lower case.
var (
	jobKeys  = jsonKeys(reflect.TypeFor[contract.JobSpec]())
	taskKeys = jsonKeys(reflect.TypeFor[contract.TaskSpec]())
)

// jsonKeys returns the keys of a struct in JSON, in lower case, those of embedded structs
// included.
func jsonKeys(t reflect.Type) map[string]bool {
	keys := map[string]bool{}
	for _, f := range reflect.VisibleFields(t) {
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" {
			keys[strings.ToLower(name)] = true
		}
	}
	return keys
}

// checkJob returns an error if a key of a job or of one of its tasks is not known or is
// given twice, ignoring case, if the job has too many tasks, or if something follows it.
// Payloads are not checked,
// because they belong to the upstream. Nothing is kept of the job, so that one of very many
// tasks takes no memory.
func checkJob(job []byte) error {
	w := keyWalker{json.NewDecoder(bytes.NewReader(job))}
	err := w.object(jobKeys, func(key string) error {
		if strings.EqualFold(key, "tasks") {
			return w.tasks()
		}
		return w.skip()
	})
	if err != nil {
		return err
	}
	if _, err := w.dec.Token(); err != io.EOF {
		return contract.ErrBadRequest.With("the body has data after the job: send one JSON object")
	}
	return nil
}

// keyWalker walks over the tokens of a job.
type keyWalker struct{ dec *json.Decoder }

// malformed returns the error for a job that is no valid JSON or has values of other types.
func malformed() error {
	return contract.ErrBadRequest.With("the body is not a job: send one JSON object with the documented fields")
}

// object checks the keys of the next object. value is called after each key and reads the
// key's value.
func (w keyWalker) object(known map[string]bool, value func(key string) error) error {
	if open, err := w.open('{'); !open {
		return err
	}
	seen := make(map[string]bool)
	for w.dec.More() {
		tok, err := w.dec.Token()
		key, ok := tok.(string)
		if err != nil || !ok {
			return malformed()
		}
		folded := strings.ToLower(key)
		switch {
		case seen[folded]:
			return contract.ErrBadRequest.With("%.64q is given twice in one object: give it once", key)
		case !known[folded]:
			return contract.ErrBadRequest.With("the body is not a job: unknown field %.64q", key)
		}
		seen[folded] = true
		if err := value(key); err != nil {
			return err
		}
	}
	if _, err := w.dec.Token(); err != nil {
		return malformed()
	}
	return nil
}

// tasks checks the array of tasks.
func (w keyWalker) tasks() error {
	if open, err := w.open('['); !open {
		return err
	}
	for n := 1; w.dec.More(); n++ {
		if n > contract.MaxTasks {
			return contract.ErrBadRequest.With("the job has more than %d tasks: give 1 to %d", contract.MaxTasks, contract.MaxTasks)
		}
		if err := w.object(taskKeys, func(string) error { return w.skip() }); err != nil {
			return err
		}
	}
	if _, err := w.dec.Token(); err != nil {
		return malformed()
	}
	return nil
}

// open reads the bracket that begins a value. It returns false without an error for null.
func (w keyWalker) open(bracket json.Delim) (bool, error) {
	tok, err := w.dec.Token()
	switch {
	case err == nil && tok == bracket:
		return true, nil
	case err == nil && tok == nil:
		return false, nil
	}
	return false, malformed()
}

func (w keyWalker) skip() error {
	var skipped json.RawMessage
	if w.dec.Decode(&skipped) != nil {
		return malformed()
	}
	return nil
}
