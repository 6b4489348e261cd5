package fpsystem_test

import (
	"bytes"
	"os"
	"testing"
)

// TestInitialConfigurationRefused guards against a VM that does not log that its initial configuration was refused. The
// configuration gives slots to a group that does not exist.
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
	for _, vm := range sys.vmNames() {
		sys.startVM(vm)
	}
	for _, vm := range sys.vmNames() {
		sys.eventually("the log of "+vm+" says that the initial configuration was refused", func() bool {
			data, err := os.ReadFile(sys.machines[vm].process.logPath)
			return err == nil && bytes.Contains(data, []byte("the initial configuration was refused"))
		})
	}
}
