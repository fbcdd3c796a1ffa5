package config

// StrictDecoder reads another schema's file as strictly as the gateway's: fields that there are not, wrong types and values that
// stand twice are errors with their place, and all come at once.
type StrictDecoder struct{ decoder decoder }

// DecodeStrict reads text into v, a pointer to a struct with yaml tags. What is wrong with it comes with Err.
func DecodeStrict(path string, text []byte, v any) *StrictDecoder {
	s := &StrictDecoder{decoder{file: path}}
	s.decoder.decode(text, v)
	return s
}

// AddError adds an error about a field, by its path as in "events[2].at".
func (s *StrictDecoder) AddError(field, reason string, args ...any) {
	s.decoder.errorAt(field, reason, args...)
}

// Err is all that is wrong, of type Errors; nil: nothing.
func (s *StrictDecoder) Err() error { return s.decoder.err() }
