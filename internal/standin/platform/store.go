package platform

import (
	"sync"

	"github.com/foxtailhook/foxtailhook/internal/domain/enum"
	"github.com/foxtailhook/foxtailhook/internal/domain/lists"
)

//go:generate stringer -type=Mode -linecomment

// Mode is how the stand-in responds to reads.
type Mode uint8

const (
	// Up serves the newest values.
	Up Mode = iota // up
	// Down responds to every read with 503.
	Down // down
	// Stale serves the values that were the newest when the mode was set.
	Stale // stale
)

// ParseMode returns the mode with the given name, or false.
func ParseMode(name string) (Mode, bool) { return enum.Parse(name, Stale) }

// Store holds the published values and wakes waiting watches at each change.
type Store struct {
	mu      sync.Mutex
	newest  [lists.Kinds]lists.Value
	served  [lists.Kinds]lists.Value
	mode    Mode
	changed chan struct{}
	reads   uint64
}

// NewStore returns a store without values.
func NewStore() *Store { return &Store{changed: make(chan struct{})} }

// Publish stores a value under the next version of its list and returns that version.
func (s *Store) Publish(kind lists.Kind, raw []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.newest[kind].Version + 1
	s.newest[kind] = lists.Value{Kind: kind, Version: version, Raw: raw}
	if s.mode != Stale {
		s.served = s.newest
	}
	s.wake()
	return version
}

// Set changes the mode.
func (s *Store) Set(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	if m != Stale {
		s.served = s.newest
	}
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read returns the served value, the mode, and a channel that is closed at the next change; Reads counts this read if count is set.
func (s *Store) Read(kind lists.Kind, count bool) (lists.Value, Mode, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count {
		s.reads++
	}
	return s.served[kind], s.mode, s.changed
}

// Reads returns the number of reads so far; a watch counts once, however often it wakes.
func (s *Store) Reads() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}
