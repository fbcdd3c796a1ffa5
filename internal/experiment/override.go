package experiment

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Override sets fields in the text of an experiment and returns the changed text. Each set has the form "gateways.admission=off", with
// a path through mappings (not lists) and a YAML value. Lines in later errors are those of the changed text.
func Override(text []byte, sets ...string) ([]byte, error) {
	if len(sets) == 0 {
		return text, nil
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("not YAML: %w", err)
	}
	if len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("an experiment is fields")
	}
	for _, s := range sets {
		path, value, ok := strings.Cut(s, "=")
		if !ok || path == "" {
			return nil, fmt.Errorf("%q: want FIELD=VALUE, as gateways.admission=off", s)
		}
		var v yaml.Node
		if err := yaml.Unmarshal([]byte(value), &v); err != nil || len(v.Content) == 0 {
			return nil, fmt.Errorf("%s: %q is no value", path, value)
		}
		if err := setField(doc.Content[0], strings.Split(path, "."), v.Content[0]); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	out, err := yaml.Marshal(&doc)
	if err != nil {
		return nil, fmt.Errorf("writing the changed experiment: %w", err)
	}
	return out, nil
}

// setField sets the field at a path of a mapping, and adds the mappings that are missing on the way.
func setField(n *yaml.Node, path []string, v *yaml.Node) error {
	if n.Kind != yaml.MappingNode {
		return fmt.Errorf("what %s is in has no fields", path[0])
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value != path[0] {
			continue
		}
		if len(path) == 1 {
			n.Content[i+1] = v
			return nil
		}
		return setField(n.Content[i+1], path[1:], v)
	}
	key := &yaml.Node{Kind: yaml.ScalarNode, Value: path[0]}
	if len(path) == 1 {
		n.Content = append(n.Content, key, v)
		return nil
	}
	m := &yaml.Node{Kind: yaml.MappingNode}
	n.Content = append(n.Content, key, m)
	return setField(m, path[1:], v)
}
