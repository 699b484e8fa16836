package entry

import (
	"bytes"
	"encoding/json"
	"strings"
)

// duplicateKey returns a key that occurs twice in a job or in one of its tasks,
// ignoring case. Payloads are not checked, because they belong to the upstream.
// The job must be valid JSON.
func duplicateKey(job []byte) (string, bool) {
	dec := json.NewDecoder(bytes.NewReader(job))
	return walkObject(dec, func(key string) (string, bool) {
		if strings.EqualFold(key, "tasks") {
			return walkArray(dec)
		}
		return "", skipValue(dec) != nil
	})
}

// walkObject calls value after each key of the next object. The value function
// reads the key's value, and returns true to end the walk. walkObject returns
// the duplicate key that it or value has found.
func walkObject(dec *json.Decoder, value func(key string) (string, bool)) (string, bool) {
	if !nextDelimIs(dec, '{') {
		return "", false
	}
	seen := make(map[string]bool)
	for dec.More() {
		tok, err := dec.Token()
		key, ok := tok.(string)
		if err != nil || !ok {
			return "", false
		}
		folded := strings.ToLower(key)
		if seen[folded] {
			return key, true
		}
		seen[folded] = true
		if dup, found := value(key); found {
			return dup, true
		}
	}
	dec.Token()
	return "", false
}

// walkArray calls walkObject for each task in the array of tasks.
func walkArray(dec *json.Decoder) (string, bool) {
	if !nextDelimIs(dec, '[') {
		return "", false
	}
	for dec.More() {
		dup, found := walkObject(dec, func(string) (string, bool) { return "", skipValue(dec) != nil })
		if found {
			return dup, true
		}
	}
	dec.Token()
	return "", false
}

func nextDelimIs(dec *json.Decoder, want json.Delim) bool {
	tok, err := dec.Token()
	return err == nil && tok == want
}

func skipValue(dec *json.Decoder) error {
	var skipped json.RawMessage
	return dec.Decode(&skipped)
}
