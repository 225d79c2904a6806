// Command foxlane is a gateway that admits queries to a pool of engines, with tools for its operators. This file sets
// up the process: runtime limits, log and signals. It must never make a decision or use a socket.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/asynclog"
	"foxlane/internal/config"
	_ "foxlane/internal/earlysignals" // a SIGHUP must not end the process before it can be handled
	"foxlane/internal/process"
	"foxlane/internal/site"
	"foxlane/internal/syserr"
	"foxlane/internal/transport"
)

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
			signals := notifySignals() // first: until then a SIGHUP is ignored
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

// At the start, reading the configuration is retried at this interval, for at most loadTimeout, if it fails with a
// transient error.
const (
	loadTimeout       = 3 * time.Second
	loadRetryInterval = 50 * time.Millisecond
)

// loadConfig reads the configuration and the operator's own file. With an empty sitePath there is no such file.
func loadConfig(sitePath string) (config.Config, error) {
	for deadline := time.Now().Add(loadTimeout); ; time.Sleep(loadRetryInterval) {
		cfg, err := config.Load()
		if err == nil {
			cfg, err = cfg.WithSite(sitePath)
		}
		if err == nil || !syserr.Transient(err) || time.Now().After(deadline) {
			return cfg, err
		}
	}
}

// notifySignals subscribes to the process's signals. Reload and termination have separate channels, so that a burst of
// one can't hide the other. A buffer of one is enough: a signal adds nothing to a pending one of the same kind.
func notifySignals() transport.Signals {
	reload, terminate := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // the process must survive a log collector that closes the pipe
	return transport.Signals{Reload: reload, Terminate: terminate}
}

// runGateway runs the gateway until a termination signal.
func runGateway(cfg config.Config, verbose bool, signals transport.Signals) error {
	process.Configure(cfg.Limits)
	cfg.Trace = verbose
	lines := asynclog.New(os.Stderr, cfg.Limits.LogBufferBytes, droppedLinesEntry)
	defer lines.Close(logDrainTimeout)
	return transport.Run(cfg, newLog(lines, verbose), signals)
}

// logDrainTimeout bounds how long the process waits at exit until the log is written.
const logDrainTimeout = 200 * time.Millisecond

// droppedLinesEntry returns the log entry that reports the number of lost lines.
func droppedLinesEntry(lines int) []byte {
	return fmt.Appendf(nil, `{"level":"warn","ts":%q,"msg":"log: lines lost","lines":%d}`+"\n", time.Now().Format(timeLayout), lines)
}

// timeLayout is the layout of the log's timestamps, as zapcore.ISO8601TimeEncoder writes them.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// Of the lines with the same message, the first logBurst of each second are logged, then every logSampling-th.
const (
	logBurst    = 10
	logSampling = 100
)

// newLog returns a logger that writes JSON lines. It samples repeated messages, except at debug level, where each
// request must be traceable by its id.
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

// checkConfig prints the settings in force with a configuration and, if sitePath is not empty, the operator's own file.
func checkConfig(out io.Writer, path, sitePath string) error {
	c, err := config.LoadFile(path)
	if err != nil {
		return err
	}
	if c, err = c.WithSite(sitePath); err != nil {
		return err
	}
	limits := c.Limits
	p := &printer{w: out}
	p.printf("%s listens on %s, name service at %s\n%d classes, %d engines known at event %d\n"+
		"at most %d clients, %d connections to engines, %d open requests, %d MB of heap\n",
		c.Name, c.Listen, c.DNS, len(c.Settings.ClassNames), len(c.InitialList.Engines), c.InitialList.Seq,
		limits.MaxClients, limits.MaxConns, limits.MaxRequests, limits.MemoryBytes>>20)
	if c.Site != nil {
		p.printf("the operator's own file, %d bytes for the state of admission control:\n%s", limits.AdmissionStateBytes, c.Site)
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
