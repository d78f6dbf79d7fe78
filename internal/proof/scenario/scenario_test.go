package scenario

import (
	"fmt"
	"maps"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var binaries string

// TestMain builds the programs once for all scenarios.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = dir
	args := []string{"build", "-o", dir + "/"}
	if os.Getenv("SCENARIO_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../../../cmd/...")...)
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	code := 1
	if err := build.Run(); err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func TestScenarios(t *testing.T) {
	all := commands()
	maps.Copy(all, streamCommands())
	maps.Copy(all, listCommands())
	maps.Copy(all, regionCommands())
	testscript.Run(t, testscript.Params{
		Dir:             "testdata",
		Cmds:            all,
		TestWork:        os.Getenv("SCENARIO_KEEP") != "",
		Setup:           setup,
		ContinueOnError: false,
	})
}

func setup(env *testscript.Env) error {
	f := newFleet(binaries, env.WorkDir)
	env.Values[fleetKey{}] = f
	env.Defer(func() {
		f.stop()
		if crash := f.crashOutput(); crash != "" {
			env.T().Fatal(crash)
		}
	})
	for name, text := range shared {
		if err := os.WriteFile(env.WorkDir+"/"+name, []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// shared has the lists that most scenarios publish, by file name.
var shared = map[string]string{
	"plans.json": `{"organisations":[
  {"organisation":"dealer","plan":"full","rate":1000,"burst":1000},
  {"organisation":"maker","plan":"full","rate":1000,"burst":1000},
  {"organisation":"small","plan":"full","rate":1,"burst":8},
  {"organisation":"guest","plan":"none","rate":1000,"burst":1000}]}`,
	"uses.json": `{"operations":[
  {"operation":"lookup.find","service":"lookup","method":"POST","path":"/vehicles","priority":"interactive","idempotent":true,"runs":8},
  {"operation":"lookup.read","service":"lookup","method":"GET","path":"/vehicles","priority":"interactive","idempotent":true,"runs":8},
  {"operation":"lookup.export","service":"lookup","method":"POST","path":"/exports","priority":"background","idempotent":true,"runs":8},
  {"operation":"repairs.notes","service":"repairs","method":"POST","path":"/notes","priority":"standard","idempotent":true,"runs":8},
  {"operation":"dispatch.send","service":"dispatch","method":"POST","path":"/notices","priority":"standard","idempotent":false,"runs":8}],
 "plans":[{"plan":"full","operations":["lookup.find","lookup.read","lookup.export","repairs.notes","dispatch.send"]},{"plan":"none","operations":[]}]}`,
}
