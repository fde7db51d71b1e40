package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// amendment is the decoded body of an amendment. Upsert has the items to add or replace, and Remove the names of the items to
// remove, both by list.
type amendment struct {
	Generation *int64
	Upsert     map[string][]json.RawMessage
	Remove     map[string][]string
}

// lists returns the sorted names of the lists that the amendment changes. Every member must produce the same body, so the order
// must not depend on map iteration.
func (a *amendment) lists() []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(a.Upsert)), maps.Keys(a.Remove))
	slices.Sort(names)
	return slices.Compact(names)
}

// Amend applies an amendment to the configuration with the given body, like Config.Amend.
func Amend(current []byte, change []byte) (*Config, error) {
	return (&Config{Body: current}).Amend(change)
}

// Amend returns the configuration with an amendment applied: an item in Upsert replaces the item with the same name, or is added at
// the end of its list; items named in Remove are removed. All other items keep the bytes that the operator sent.
func (c *Config) Amend(change []byte) (*Config, error) {
	var amended amendment
	if err := json.Unmarshal(change, &amended); err != nil {
		return nil, decodeError(err)
	}
	if amended.Generation == nil {
		return nil, &FieldError{Key: "Generation", Reason: "missing"}
	}
	body, err := decodeObject(c.Body)
	if err != nil {
		return nil, err
	}
	body.values["Generation"] = encode(*amended.Generation)
	for _, list := range amended.lists() {
		if err := body.amendList(list, amended.Upsert[list], amended.Remove[list]); err != nil {
			return nil, err
		}
	}
	return ReadNext(c, body.encode())
}

// errNotAnObject is returned for a body that is the JSON value null.
var errNotAnObject = errors.New("the body: null is not a configuration")

// object is a JSON object that keeps the bytes of its values and the order of its keys.
type object struct {
	keys   []string // in their original order
	values map[string]json.RawMessage
}

func decodeObject(body []byte) (*object, error) {
	decoded := &object{}
	if err := json.Unmarshal(body, &decoded.values); err != nil {
		return nil, decodeError(err)
	}
	if decoded.values == nil {
		return nil, errNotAnObject
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if _, err := decoder.Token(); err != nil {
		return nil, err
	}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return nil, err
		}
		if key, ok := token.(string); ok {
			decoded.keys = append(decoded.keys, key)
		}
	}
	return decoded, nil
}

func (o *object) encode() []byte {
	body := []byte{'{'}
	for i, key := range o.keys {
		if i > 0 {
			body = append(body, ',')
		}
		body = append(body, encode(key)...)
		body = append(body, ':')
		body = append(body, o.values[key]...)
	}
	return append(body, '}')
}

// amendList amends a list of the object, and adds the list if it does not exist.
func (o *object) amendList(list string, upsert []json.RawMessage, remove []string) error {
	var items []json.RawMessage
	if value, ok := o.values[list]; ok {
		if err := json.Unmarshal(value, &items); err != nil {
			return &FieldError{Key: list, Reason: "not a list"}
		}
	} else {
		o.keys = append(o.keys, list)
	}
	items, err := amendItems(list, items, upsert, remove)
	if err != nil {
		return err
	}
	value := []byte{'['}
	for i, item := range items {
		if i > 0 {
			value = append(value, ',')
		}
		value = append(value, item...)
	}
	o.values[list] = append(value, ']')
	return nil
}

// amendItems returns the items of a list with removals and then upserts applied.
func amendItems(list string, items, upsert []json.RawMessage, remove []string) ([]json.RawMessage, error) {
	indexes := map[string]int{}
	for i, item := range items {
		name, err := itemName(item)
		if err != nil {
			return nil, fmt.Errorf("%s[%d]: %w", list, i, err)
		}
		indexes[name] = i
	}
	for _, name := range remove {
		if index, ok := indexes[name]; ok {
			items[index] = nil
			delete(indexes, name)
		}
	}
	for i, item := range upsert {
		name, err := itemName(item)
		if err != nil {
			return nil, &FieldError{Key: fmt.Sprintf("Upsert.%s[%d]", list, i), Reason: err.Error()}
		}
		if index, ok := indexes[name]; ok {
			items[index] = item
			continue
		}
		indexes[name] = len(items)
		items = append(items, item)
	}
	return slices.DeleteFunc(items, func(item json.RawMessage) bool { return item == nil }), nil
}

func itemName(item json.RawMessage) (string, error) {
	var named struct{ Name string }
	if err := json.Unmarshal(item, &named); err != nil || named.Name == "" {
		return "", errors.New("item has no Name")
	}
	return named.Name, nil
}

// encode encodes a string or a number as JSON, which cannot fail.
func encode(value any) []byte {
	encoded, _ := json.Marshal(value)
	return encoded
}
