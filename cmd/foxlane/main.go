// Command foxlane is a gateway that admits queries to a pool of engines, with tools for its operators. This file owns the
// process: its limits, its log and its signals. It must never make a decision or use a socket.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/asynclog"
	"foxlane/internal/config"
	"foxlane/internal/site"
	"foxlane/internal/syserr"
	"foxlane/internal/transport"
)

// gcPercent lets garbage grow to the size of the live heap and no more. Both are small, so that this costs hardly any
// time. With a higher value the resident size would grow for a minute or more before the first collection, which can't
// be told from a leak.
const gcPercent = 100

// version is set by the linker for releases.
var version = "dev"

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "foxlane:", err)
		os.Exit(1)
	}
}

func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "foxlane",
		Short:         "A gateway that admits queries to a pool of engines",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), checkCommand(), planCommand(), spoolCommand(), membersCommand(), replicaCommand(), directiveCommand(), versionCommand())
	return cmd
}

func serveCommand() *cobra.Command {
	var verbose bool
	var sitePath string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve clients until SIGTERM, as configured in " + config.EnvConfig + "; SIGHUP reloads it",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := notifySignals() // first: a SIGHUP before that ends the process
			cfg, err := loadConfig(sitePath)
			if err != nil {
				return err
			}
			return runGateway(cfg, verbose, signals)
		},
	}
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "log at debug level")
	cmd.Flags().StringVar(&sitePath, "site", "", "the operator's own file (HCL); SIGHUP reloads it")
	return cmd
}

// While reading the configuration fails with an error that may pass, a start retries for this long.
const (
	loadTimeout       = 3 * time.Second
	loadRetryInterval = 50 * time.Millisecond
)

// loadConfig reads the configuration and the operator's own file. An empty path: there is none.
func loadConfig(sitePath string) (config.Config, error) {
	for until := time.Now().Add(loadTimeout); ; time.Sleep(loadRetryInterval) {
		cfg, err := config.Load()
		if err == nil {
			cfg, err = cfg.WithSite(sitePath)
		}
		if err == nil || !syserr.Transient(err) || time.Now().After(until) {
			return cfg, err
		}
	}
}

// setRuntime adapts the runtime to a machine with a fraction of a core and little memory.
func setRuntime(l config.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.MemoryBytes)
}

// notifySignals receives the process's signals. Each kind has a channel of its own with a buffer of one: a second signal
// of the same kind adds nothing to one that waits.
func notifySignals() transport.Signals {
	reload, end := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // a log collector that goes away must not end the process
	return transport.Signals{Reload: reload, Terminate: end}
}

// runGateway runs the gateway until a signal ends it.
func runGateway(cfg config.Config, verbose bool, signals transport.Signals) error {
	setRuntime(cfg.Limits)
	cfg.Trace = verbose
	lines := asynclog.New(os.Stderr, cfg.Limits.LogBufferBytes, droppedLinesEntry)
	defer lines.Close(logDrainTimeout)
	return transport.Run(cfg, newLog(lines, verbose), signals)
}

// logDrainTimeout is how long the process waits at its end until the log is written.
const logDrainTimeout = 200 * time.Millisecond

// droppedLinesEntry is the log entry that reports that lines were lost.
func droppedLinesEntry(lines int) []byte {
	return fmt.Appendf(nil, `{"level":"warn","ts":%q,"msg":"log: lines lost","lines":%d}`+"\n", time.Now().Format(timeLayout), lines)
}

// timeLayout is the format of the log's timestamps.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// Of the lines with the same message, the first logBurst of each second are logged, then every logSampling-th.
const (
	logBurst    = 10
	logSampling = 100
)

// newLog returns a logger that writes JSON lines. Repeated ones are sampled, but not at debug level, where one request
// must be traceable by its id.
func newLog(out zapcore.WriteSyncer, verbose bool) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	level := zapcore.InfoLevel
	if verbose {
		level = zapcore.DebugLevel
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), out, level)
	if !verbose {
		core = zapcore.NewSamplerWithOptions(core, time.Second, logBurst, logSampling)
	}
	return zap.New(core)
}

func checkCommand() *cobra.Command {
	var sitePath string
	cmd := &cobra.Command{
		Use:   "check [FILE] [--site FILE]",
		Short: "Read a configuration, the operator's own file or both, and print the settings in force",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			switch {
			case len(args) > 0:
				return checkConfig(cmd.OutOrStdout(), args[0], sitePath)
			case sitePath != "":
				return checkSite(cmd.OutOrStdout(), sitePath)
			}
			return errors.New("check: name a configuration or, with --site, the operator's own file")
		},
	}
	cmd.Flags().StringVar(&sitePath, "site", "", "the operator's own file (HCL)")
	return cmd
}

func checkSite(out io.Writer, path string) error {
	s, err := site.LoadFile(path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(out, s)
	return err
}

// checkConfig prints what a configuration, with the operator's own file if that is named, comes to.
func checkConfig(out io.Writer, path, sitePath string) error {
	c, err := config.LoadFile(path)
	if err != nil {
		return err
	}
	if c, err = c.WithSite(sitePath); err != nil {
		return err
	}
	l := c.Limits
	p := &printer{w: out}
	p.printf("%s listens on %s, name service at %s\n%d classes, %d engines known at event %d\n"+
		"at most %d clients, %d connections to engines, %d open requests, %d MB of heap\n",
		c.Name, c.Listen, c.DNS, len(c.Settings.ClassNames), len(c.InitialList.Engines), c.InitialList.Seq,
		l.MaxClients, l.MaxConns, l.MaxRequests, l.MemoryBytes>>20)
	if c.Site != nil {
		p.printf("the operator's own file, %d bytes for the door to remember:\n%s", l.AdmissionStateBytes, c.Site)
	}
	return p.err
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "foxlane", version, runtime.Version())
			return err
		},
	}
}
