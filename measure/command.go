package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes of wigeonmeasure.
const (
	ExitOK     = 0
	ExitFailed = 1 // an answer failed its check, or the run could not be completed
	ExitUsage  = 2
)

type common struct {
	Experiment string `arg:"--experiment,required" help:"name of the experiment"`
	Mode       Mode   `arg:"--mode" default:"quick" help:"quick or full"`
	Dir        string `arg:"--dir" help:"folder of the processes' settings"`
}

type emptyCommand struct{}

type runCommand struct {
	Out string `arg:"--out" default:"out" help:"folder for CSV and SVG files"`
}

type args struct {
	List     *emptyCommand  `arg:"subcommand:list" help:"print the experiments' names"`
	Plan     *emptyCommand  `arg:"subcommand:plan" help:"write the stand-ins' configuration"`
	Settings *emptyCommand  `arg:"subcommand:settings" help:"write the routers' settings"`
	Run      *runCommand    `arg:"subcommand:run" help:"measure"`
	Limits   *emptyCommand  `arg:"subcommand:limits" help:"simulate ways to divide a backend server's limit among routers; takes no options"`
	Sizing   *sizingCommand `arg:"subcommand:sizing" help:"simulate ways to state what a request costs"`
	common
}

// Main runs wigeonmeasure with the arguments argv (without the program's name) and returns the
// exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	if len(argv) == 1 && argv[0] == "list" {
		for _, x := range experiments() {
			fmt.Fprintln(stdout, x.Name())
		}
		return ExitOK
	}
	if len(argv) == 1 && argv[0] == "limits" {
		if err := limitFleets(stdout); err != nil {
			return fail(stderr, ExitFailed, err)
		}
		return ExitOK
	}
	if len(argv) > 0 && argv[0] == "sizing" {
		return sizingMain(argv[1:], stdout, stderr)
	}
	var a args
	p, err := arg.NewParser(arg.Config{Program: "wigeonmeasure"}, &a)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	err = p.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(stdout)
		return ExitOK
	}
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	if err := a.dispatch(stdout); err != nil {
		return fail(stderr, ExitFailed, err)
	}
	return ExitOK
}

// sizingMain runs the subcommand sizing, which needs no experiment and no processes.
func sizingMain(argv []string, stdout, stderr io.Writer) int {
	var c sizingCommand
	p, err := arg.NewParser(arg.Config{Program: "wigeonmeasure sizing"}, &c)
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return ExitOK
	case err != nil:
		return fail(stderr, ExitUsage, err)
	}
	if err := sizing(c, stdout); err != nil {
		return fail(stderr, ExitFailed, err)
	}
	return ExitOK
}

func fail(stderr io.Writer, code int, err error) int {
	fmt.Fprintln(stderr, "wigeonmeasure:", err)
	return code
}

func (a *args) dispatch(stdout io.Writer) error {
	x, err := findExperiment(a.Experiment)
	if err != nil {
		return err
	}
	switch {
	case a.Plan != nil:
		return Plan(x, a.Mode, a.Dir)
	case a.Settings != nil:
		return Settings(x, a.Mode, a.Dir)
	case a.Run != nil:
		return a.run(x, stdout)
	}
	return Error.New("want a subcommand: list, plan, settings or run")
}

func (a *args) run(x Experiment, stdout io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env, err := Open(ctx, x, a.Mode, a.Dir, a.Run.Out, stdout)
	if err != nil {
		return err
	}
	return x.Run(ctx, env)
}
