package fpsystem_test

import (
	"bytes"
	"os"
	"testing"
)

// TestInitialConfigurationRefused guards against a VM that proposes a refused initial configuration for ever without a word.
func TestInitialConfigurationRefused(t *testing.T) {
	t.Parallel()
	lay := oneRegion()
	lay.homes = func(string) []map[string]any {
		return []map[string]any{
			{
				"group":     "absent",
				"firstSlot": 0,
				"lastSlot":  slots - 1,
			},
		}
	}
	sys := prepareSystem(t, lay)
	for _, vm := range sys.vms() {
		sys.startVM(vm)
	}
	for _, vm := range sys.vms() {
		sys.eventually("the log of "+vm+" names the refusal", func() bool {
			data, err := os.ReadFile(sys.machines[vm].running.log)
			return err == nil && bytes.Contains(data, []byte("the initial configuration was refused"))
		})
	}
}
