package head

const (
	// maxLines bounds the lines of a head. Servers send some ten; each takes far more memory once it is parsed than on the wire.
	maxLines = 256
	// maxBytes bounds a head, in bytes. Servers send a few hundred.
	maxBytes = 32 << 10
	// MaxUnscanned bounds a head that is parsed without a Scanner, which counts its lines, in bytes.
	MaxUnscanned = 8 << 10
)

// Scanner checks the bytes of a head before they are parsed. The zero value is ready for the first byte of a head.
type Scanner struct {
	state state
	// line is the number of the current line, and length how many of its bytes came before the current one.
	line, length int
	// bytes is how many bytes were scanned.
	bytes int
	// returned is set after a carriage return, which only a line feed may follow.
	returned bool
	// text is the beginning of the current line, up to what is compared with known texts.
	text [18]byte
	// earlier is set for HTTP/1.0.
	earlier                bool
	hasLength, hasEncoding bool
}

// state says which part of a head the next byte belongs to.
type state int

const (
	inStatus state = iota
	atLineStart
	inName
	inValue
	// atFoldStart is within the blanks at the beginning of a line that continues a value, inFoldWord in its first word.
	atFoldStart
	inFoldWord
	ended
)

// statusLength is the length of the shortest status line, such as "HTTP/1.1 200".
const statusLength = 12

// Done reports whether the head's last byte has been scanned.
func (s *Scanner) Done() bool { return s.state == ended }

// Scan checks the next bytes of a head. Those after its end are ignored. The error is of type *Error.
func (s *Scanner) Scan(p []byte) error {
	for _, b := range p {
		if s.state == ended {
			return nil
		}
		fault := s.next(b)
		if s.bytes++; s.bytes > maxBytes {
			fault = "too many bytes"
		}
		if fault != "" {
			return &Error{Fault: fault, Text: string(s.text[:min(s.length, len(s.text))]), Line: s.line + 1}
		}
	}
	return nil
}

// next takes the next byte and returns what is wrong with it, if anything.
func (s *Scanner) next(b byte) (fault string) {
	switch {
	case b == '\n':
		s.returned = false
		return s.endLine()
	case s.returned:
		return "carriage return"
	case b == '\r':
		s.returned = true
		return ""
	}
	if s.length < len(s.text) {
		s.text[s.length] = b
	}
	fault = s.take(b)
	s.length++
	return fault
}

// take takes a byte of a line.
func (s *Scanner) take(b byte) (fault string) {
	switch s.state {
	case inStatus:
		if s.length == statusLength && b != ' ' || !isText(b) {
			return "status line"
		}
	case atLineStart:
		return s.beginLine(b)
	case inName:
		if b == ':' {
			return s.endName()
		}
		if !tokenBytes[b] {
			return "field name"
		}
	case atFoldStart:
		s.state = inFoldWord
		if b == ' ' || b == '\t' {
			s.state = atFoldStart
		}
		return textFault(b)
	case inFoldWord:
		switch {
		case b == ':':
			// A field with a blank before its name would be taken for a part of the value before it.
			return "blank before a field name"
		case !tokenBytes[b]:
			s.state = inValue
		}
		return textFault(b)
	default:
		return textFault(b)
	}
	return ""
}

func textFault(b byte) string {
	if isText(b) {
		return ""
	}
	return "field value"
}

// isText reports whether a byte may be a part of a reason or a value.
func isText(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

func (s *Scanner) beginLine(b byte) (fault string) {
	switch {
	case (b == ' ' || b == '\t') && s.line > 1:
		s.state = atFoldStart
	case !tokenBytes[b]:
		return "field name"
	default:
		s.state = inName
	}
	return ""
}

// endName ends a field's name, whose beginning is in text.
func (s *Scanner) endName() (fault string) {
	s.state = inValue
	switch name := s.text[:min(s.length, len(s.text))]; {
	case equalFold(name, "content-length"):
		s.hasLength = true
	case equalFold(name, "transfer-encoding"):
		s.hasEncoding = true
	}
	switch {
	case s.hasLength && s.hasEncoding:
		return "length beside an encoding"
	case s.hasEncoding && s.earlier:
		return "encoding in HTTP/1.0"
	}
	return ""
}

// equalFold compares a name with a text in lower case.
func equalFold(name []byte, text string) bool {
	if len(name) != len(text) {
		return false
	}
	for i, b := range name {
		if 'A' <= b && b <= 'Z' {
			b += 'a' - 'A'
		}
		if b != text[i] {
			return false
		}
	}
	return true
}

func (s *Scanner) endLine() (fault string) {
	switch s.state {
	case inStatus:
		if fault := s.checkStatus(); fault != "" {
			return fault
		}
	case atLineStart:
		s.state = ended
		return ""
	case inName:
		return "field without a colon"
	}
	s.state = atLineStart
	s.length = 0
	if s.line++; s.line >= maxLines {
		return "too many lines"
	}
	return ""
}

// checkStatus checks the first bytes of a status line, such as "HTTP/1.1 200".
func (s *Scanner) checkStatus() (fault string) {
	version, minor, status := string(s.text[:7]), s.text[7], s.text[9:statusLength]
	if s.length < statusLength || version != "HTTP/1." || minor < '0' || minor > '9' || s.text[8] != ' ' {
		return "status line"
	}
	code := 0
	for _, digit := range status {
		if digit < '0' || digit > '9' {
			return "status"
		}
		code = 10*code + int(digit-'0')
	}
	if code < minStatus || code > maxStatus {
		return "status"
	}
	s.earlier = minor == '0'
	return ""
}
