package experiment

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Override sets fields in the text of an experiment and returns the changed text. Each assignment has the form
// "gateways.admission=off": a path through mappings (not lists) and a YAML value. Line numbers in later errors refer to the changed text.
func Override(text []byte, assignments ...string) ([]byte, error) {
	if len(assignments) == 0 {
		return text, nil
	}
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("parsing the experiment as YAML: %w", err)
	}
	if len(doc.Content) == 0 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("an experiment must be a YAML mapping")
	}
	for _, assignment := range assignments {
		path, value, ok := strings.Cut(assignment, "=")
		if !ok || path == "" {
			return nil, fmt.Errorf("%q: want FIELD=VALUE, such as gateways.admission=off", assignment)
		}
		var parsed yaml.Node
		if err := yaml.Unmarshal([]byte(value), &parsed); err != nil || len(parsed.Content) == 0 {
			return nil, fmt.Errorf("%s: %q is not a YAML value", path, value)
		}
		if err := setField(doc.Content[0], strings.Split(path, "."), parsed.Content[0]); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	out, err := yaml.Marshal(&doc)
	if err != nil {
		return nil, fmt.Errorf("writing the changed experiment: %w", err)
	}
	return out, nil
}

// setField sets the field at a path of a mapping, and adds missing mappings along the path.
func setField(node *yaml.Node, path []string, value *yaml.Node) error {
	if node.Kind != yaml.MappingNode {
		return fmt.Errorf("the parent of %s is not a mapping", path[0])
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value != path[0] {
			continue
		}
		if len(path) == 1 {
			node.Content[i+1] = value
			return nil
		}
		return setField(node.Content[i+1], path[1:], value)
	}
	key := &yaml.Node{Kind: yaml.ScalarNode, Value: path[0]}
	if len(path) == 1 {
		node.Content = append(node.Content, key, value)
		return nil
	}
	mapping := &yaml.Node{Kind: yaml.MappingNode}
	node.Content = append(node.Content, key, mapping)
	return setField(mapping, path[1:], value)
}
