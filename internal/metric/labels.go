package metric

import "sync"

// labelSet bounds the number of values of a label: the first values up to limit are kept, later ones become other.
type labelSet struct {
	limit int
	other string

	mu   sync.Mutex
	seen map[string]struct{}
}

func (s *labelSet) label(value string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.seen[value]; ok {
		return value
	}
	if len(s.seen) >= s.limit {
		return s.other
	}
	if s.seen == nil {
		s.seen = make(map[string]struct{})
	}
	s.seen[value] = struct{}{}
	return value
}
