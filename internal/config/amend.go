package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// amendment is the body of an amendment: items to add or replace, and names of items to remove, by list.
type amendment struct {
	Generation *int64
	Upsert     map[string][]json.RawMessage
	Remove     map[string][]string
}

// lists returns the lists that the amendment changes, in an order that does not depend on map iteration, since every member must
// make the same body.
func (a *amendment) lists() []string {
	names := slices.AppendSeq(slices.Collect(maps.Keys(a.Upsert)), maps.Keys(a.Remove))
	slices.Sort(names)
	return slices.Compact(names)
}

// Amend amends the configuration of a body, like Config.Amend.
func Amend(current []byte, change []byte) (*Config, error) {
	return (&Config{Body: current}).Amend(change)
}

// Amend returns the configuration with an amendment applied: items of the names in Upsert are replaced in place or added at the
// end, those in Remove are removed. All other bytes of the items remain as the operator sent them.
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

// errNotAnObject is the error for a body that is the JSON null.
var errNotAnObject = errors.New("the body: null is no configuration")

// object is a JSON object whose values are kept as they were received.
type object struct {
	keys   []string // in order
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

// amendList changes a list of the object; one that is not there is added.
func (o *object) amendList(list string, upsert []json.RawMessage, remove []string) error {
	var items []json.RawMessage
	if value, ok := o.values[list]; ok {
		if err := json.Unmarshal(value, &items); err != nil {
			return &FieldError{Key: list, Reason: "no list of items"}
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

// amendItems returns the items without those to remove, and with those to upsert.
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
		return "", errors.New("an item without a Name")
	}
	return named.Name, nil
}

// encode encodes a string or a number, which can't fail.
func encode(value any) []byte {
	encoded, _ := json.Marshal(value)
	return encoded
}
