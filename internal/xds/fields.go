package xds

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// maxWarnings bounds the warnings about one resource.
const maxWarnings = 32

// fieldTable lists the fields of a message that are supported and those that are ignored with a warning. A resource that
// sets another field is rejected.
type fieldTable struct {
	supported []string
	ignored   []string
}

// audit checks the fields that a message sets. The path is that of the message, with a dot at its end, and begins errors
// and warnings. With nil warnings none are recorded.
func (t fieldTable) audit(message proto.Message, path string, warnings *[]string) error {
	var errs []error
	reflected := message.ProtoReflect()
	reflected.Range(func(field protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		name := string(field.Name())
		switch {
		case slices.Contains(t.supported, name):
		case slices.Contains(t.ignored, name):
			if warnings != nil && len(*warnings) < maxWarnings {
				*warnings = append(*warnings, path+name+" is ignored")
			}
		default:
			errs = append(errs, fmt.Errorf("%s%s: not supported", path, name))
		}
		return true
	})
	if n := len(reflected.GetUnknown()); n > 0 && warnings != nil {
		*warnings = append(*warnings, fmt.Sprintf("%s%d bytes of unknown fields are ignored", path, n))
	}
	slices.SortFunc(errs, func(x, y error) int { return cmp.Compare(x.Error(), y.Error()) })
	return errors.Join(errs...)
}
