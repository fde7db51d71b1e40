package tool

import (
	"fmt"
	"os"

	"ferrypitch/internal/router/trace/format"
)

// Feed gives the blocks of an indexed file one after the other, opening it for each, so that any number of files
// can be merged with few descriptors.
func (s *Source) Feed() (Feed, error) {
	if s.Spans == nil {
		return nil, fmt.Errorf("%s has no index; repair it first", s.path)
	}
	next := 0
	return func() ([]format.Event, error) {
		for next < len(s.Spans) {
			span := s.Spans[next]
			next++
			f, err := os.Open(s.path)
			if err != nil {
				return nil, err
			}
			events, err := format.ReadBlock(f, s.Header.Schema, span)
			f.Close()
			if err != nil {
				return nil, fmt.Errorf("%s: %w", s.path, err)
			}
			if len(events) > 0 {
				return events, nil
			}
		}
		return nil, nil
	}, nil
}
