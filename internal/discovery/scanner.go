package discovery

// objectScanner tracks the nesting of a JSON value to detect whether it is complete at the end of a line.
type objectScanner struct {
	depth           int
	quoted, escaped bool
}

func (o *objectScanner) scan(part []byte) {
	for _, ch := range part {
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped, o.quoted = ch == '\\', ch != '"'
		case ch == '"':
			o.quoted = true
		case ch == '{', ch == '[':
			o.depth++
		case ch == '}', ch == ']':
			o.depth--
		}
	}
}

// unfinished reports whether the object continues on the next line. It returns false within a string, which cannot contain a
// line break.
func (o *objectScanner) unfinished() bool { return o.depth > 0 && !o.quoted }
