package cluster

import (
	"context"
	"fmt"
	"os/exec"
	"strings"
)

func tagged(tags []string) string {
	if len(tags) == 0 {
		return ""
	}
	return "-" + strings.Join(tags, "-")
}

func build(ctx context.Context, path string, tags []string) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "build", "-tags", strings.Join(tags, ","), "-o", path, "arrowhitch/cmd/robindrum").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building robindrum: %w\n%s", err, out)
	}
	return path, nil
}
