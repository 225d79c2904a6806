// Command foxlane is one gateway on sockets. This file owns the command line
// and the process: its limits, its log, its signals. It must never hold a
// decision or touch a socket.
package main

import (
	"errors"
	"fmt"
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
	"foxlane/internal/net"
	"foxlane/internal/site"
	"foxlane/internal/syserr"
)

// gcPercent lets garbage grow to what is in use and no more. Little is kept and little is made, so that
// this costs hardly any time; with a high figure the resident size climbs for a minute and more
// before the first collection, and who watches it can't tell that from a leak.
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
		Short: "Serve clients, as " + config.EnvConfig + " says, until SIGTERM; SIGHUP reads it again",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := notifySignals() // a SIGHUP before that would end the process
			cfg, err := loadConfig(sitePath)
			if err != nil {
				return err
			}
			return runGateway(cfg, verbose, signals)
		},
	}
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "log at debug level")
	cmd.Flags().StringVar(&sitePath, "site", "", "the operator's own file (HCL); SIGHUP reads it again")
	return cmd
}

// loadWithin is for how long a start goes on reading its configuration where that fails for a moment.
const (
	loadTimeout       = 3 * time.Second
	loadRetryInterval = 50 * time.Millisecond
)

// loadConfig reads the configuration and the operator's own file.
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

// setRuntime fits the runtime to a machine of a part of a core and little memory.
func setRuntime(l config.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(l.MemoryBytes)
}

// notifySignals takes the process's signals. Each kind has a channel of its own, with room for one: a second of the same
// kind asks for nothing more.
func notifySignals() net.Signals {
	reload, end := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE) // a log collector that goes away must not end the process
	return net.Signals{Reload: reload, Terminate: end}
}

func runGateway(cfg config.Config, verbose bool, signals net.Signals) error {
	setRuntime(cfg.Limits)
	cfg.Trace = verbose
	lines := asynclog.New(os.Stderr, cfg.Limits.LogBufferBytes, droppedLinesEntry)
	defer lines.Close(logDrainTimeout)
	return net.Run(cfg, newLog(lines, verbose), signals)
}

// logDrainTimeout is how long the end of the process waits for whoever reads the log.
const logDrainTimeout = 200 * time.Millisecond

// droppedLinesEntry is the log line that reports lines that were lost.
func droppedLinesEntry(lines int) []byte {
	return fmt.Appendf(nil, `{"level":"warn","ts":%q,"msg":"log: lines lost","lines":%d}`+"\n", time.Now().Format(timeLayout), lines)
}

// timeLayout is that of the log's time stamps.
const timeLayout = "2006-01-02T15:04:05.000Z0700"

// newLog writes JSON lines. Repeated ones are sampled, the first ten of a kind each second, then every hundredth; not at
// debug level, where one request is to be followed by its id.
func newLog(out zapcore.WriteSyncer, verbose bool) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	level := zapcore.InfoLevel
	if verbose {
		level = zapcore.DebugLevel
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoder), out, level)
	if !verbose {
		core = zapcore.NewSamplerWithOptions(core, time.Second, 10, 100)
	}
	return zap.New(core)
}

func checkCommand() *cobra.Command {
	var sitePath string
	cmd := &cobra.Command{
		Use:   "check [FILE] [--site FILE]",
		Short: "Read a configuration, the operator's own file or both, and say what holds",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				if sitePath == "" {
					return errors.New("check: name a configuration or, with --site, the operator's own file")
				}
				s, err := site.LoadFile(sitePath)
				if err != nil {
					return err
				}
				_, err = fmt.Fprint(cmd.OutOrStdout(), s)
				return err
			}
			c, err := config.LoadFile(args[0])
			if err != nil {
				return err
			}
			if c, err = c.WithSite(sitePath); err != nil {
				return err
			}
			l := c.Limits
			_, err = fmt.Fprintf(cmd.OutOrStdout(),
				"%s listens on %s, name service at %s\n%d classes, %d engines known at event %d\n"+
					"at most %d clients, %d connections to engines, %d open requests, %d MB of heap\n",
				c.Name, c.Listen, c.DNS, len(c.Settings.ClassNames), len(c.InitialList.Engines), c.InitialList.Seq,
				l.MaxClients, l.MaxConns, l.MaxRequests, l.MemoryBytes>>20)
			if err == nil && c.Site != nil {
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "the operator's own file, %d bytes for the door to remember:\n%s", l.AdmissionStateBytes, c.Site)
			}
			return err
		},
	}
	cmd.Flags().StringVar(&sitePath, "site", "", "the operator's own file (HCL)")
	return cmd
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
