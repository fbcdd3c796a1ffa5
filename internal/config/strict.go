package config

// StrictDecoder holds the errors of a file of another schema that is decoded as strictly as the configuration file: unknown
// fields, wrong types and duplicate keys are errors with their position, and all errors are returned together.
type StrictDecoder struct {
	decoder decoder
}

// DecodeStrict decodes text into target, a pointer to a struct with yaml tags. The path is for the errors, which Err returns.
func DecodeStrict(path string, text []byte, target any) *StrictDecoder {
	s := &StrictDecoder{decoder: decoder{file: path}}
	s.decoder.decode(text, target)
	return s
}

// AddError adds an error about a field, which is given by its path, such as "events[2].at".
func (s *StrictDecoder) AddError(field, reason string, args ...any) {
	s.decoder.errorAt(field, reason, args...)
}

// Err returns all errors as Errors, or nil if there are none.
func (s *StrictDecoder) Err() error { return s.decoder.err() }
