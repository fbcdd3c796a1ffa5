package discovery

// objectScanner detects whether a JSON object is complete at the end of a line.
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

// unfinished reports whether the object goes on behind the line. A line that ends within a string does not.
func (o *objectScanner) unfinished() bool { return o.depth > 0 && !o.quoted }
