package tool

import (
	"encoding/hex"

	"github.com/zeebo/blake3"

	"ferrypitch/internal/router/trace/format"
	"ferrypitch/internal/router/trace/record"
)

const (
	// pseudonymBytes is the length of a pseudonym before hexadecimal encoding.
	pseudonymBytes = 10
	// keyIDBytes is the length of the prefix of the key's hash that is stored in headers.
	keyIDBytes = 4
	// keyIDContext is hashed with the key, to separate the hash in headers from other uses of the key.
	keyIDContext = "ferrypitch trace key "
	// maxCachedPseudonyms bounds the cache of pseudonyms of hosts, routers and addresses.
	maxCachedPseudonyms = 1 << 16
)

// Anonymizer replaces the texts of a trace according to the Privacy of their columns. With
// the same key, a text has the same pseudonym in the files of all routers.
type Anonymizer struct {
	key         [32]byte
	textPrivacy [][]format.Privacy // by kind, in the order of Event.Texts
	pseudonyms  map[string]string  // cache, only for Topology
}

// NewAnonymizer returns an Anonymizer with a key.
func NewAnonymizer(key [32]byte) *Anonymizer {
	return &Anonymizer{key: key, pseudonyms: map[string]string{}}
}

// Header returns the header of the anonymized trace. It must be called before the first
// Event of each trace. Unknown values of Header.Extra are removed.
func (a *Anonymizer) Header(header format.Header) (format.Header, error) {
	a.textPrivacy = nil
	for _, kind := range header.Schema {
		a.textPrivacy = append(a.textPrivacy, textPrivacy(kind))
	}
	header.Router = a.pseudonym(format.Topology, header.Router)
	extra := map[string][]byte{}
	if groups, ok := header.Extra[groupsKey]; ok { // names of command groups are no personal data
		extra[groupsKey] = groups
	}
	if encoded, ok := header.Extra[deploymentKey]; ok {
		anonymous, err := a.deployment(encoded)
		if err != nil {
			return header, err
		}
		extra[deploymentKey] = anonymous
	}
	header.Extra = extra
	sum := blake3.Sum256(append([]byte(keyIDContext), a.key[:]...))
	header.KeyID = sum[:keyIDBytes]
	return header, nil
}

func textPrivacy(kind format.Kind) []format.Privacy {
	var privacy []format.Privacy
	for _, column := range kind.Columns {
		if column.Type == format.Text {
			privacy = append(privacy, column.Privacy)
		}
	}
	return privacy
}

// deployment returns an encoded deployment with a pseudonym for its zone.
func (a *Anonymizer) deployment(encoded []byte) ([]byte, error) {
	deployment, err := record.DecodeDeployment(encoded)
	if err != nil {
		return nil, err
	}
	deployment.Zone = a.pseudonym(format.Topology, deployment.Zone)
	return record.EncodeDeployment(deployment)
}

// Event returns an event with its texts anonymized.
func (a *Anonymizer) Event(event format.Event) format.Event {
	if len(event.Texts) == 0 {
		return event
	}
	texts := make([]string, len(event.Texts))
	for i, text := range event.Texts {
		texts[i] = a.pseudonym(a.textPrivacy[event.Kind][i], text)
	}
	event.Texts = texts
	return event
}

// pseudonym returns the replacement of a text: a prefix of its keyed hash, or the text itself
// for Plain, or an empty string for FreeText and unknown classes.
func (a *Anonymizer) pseudonym(privacy format.Privacy, text string) string {
	switch {
	case privacy == format.Plain || text == "":
		return text
	case privacy != format.Identity && privacy != format.Topology:
		return ""
	}
	if known, ok := a.pseudonyms[text]; ok && privacy == format.Topology {
		return known
	}
	hasher, err := blake3.NewKeyed(a.key[:])
	if err != nil {
		panic(err) // cannot happen: the key has the required length
	}
	hasher.Write([]byte{byte(privacy)})
	hasher.WriteString(text)
	pseudonym := hex.EncodeToString(hasher.Sum(nil)[:pseudonymBytes])
	if privacy == format.Topology && len(a.pseudonyms) < maxCachedPseudonyms {
		a.pseudonyms[text] = pseudonym
	}
	return pseudonym
}
