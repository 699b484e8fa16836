package entry

import (
	"bytes"
	"encoding/json"
	"strings"
)

// duplicateKey returns a key that a job or one of its tasks holds twice, in
// whatever letter case. It does not look into payloads, which are the
// upstream's. The job is known to be valid JSON.
func duplicateKey(job []byte) (string, bool) {
	dec := json.NewDecoder(bytes.NewReader(job))
	return walkObject(dec, func(key string) (string, bool) {
		if strings.EqualFold(key, "tasks") {
			return walkArray(dec)
		}
		return "", skipValue(dec) != nil
	})
}

// walkObject calls value after each key of the next object; value reads the
// key's value, and may end the walk.
func walkObject(dec *json.Decoder, value func(key string) (string, bool)) (string, bool) {
	if !opens(dec, '{') {
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

// walkArray walks the tasks.
func walkArray(dec *json.Decoder) (string, bool) {
	if !opens(dec, '[') {
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

func opens(dec *json.Decoder, want json.Delim) bool {
	tok, err := dec.Token()
	return err == nil && tok == want
}

func skipValue(dec *json.Decoder) error {
	var skipped json.RawMessage
	return dec.Decode(&skipped)
}
