// Command toy runs an environment to try a gateway in: two fake engines that answer every statement with a few rows
// after a delay, and a name server that lists them. It is not for production use.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"foxlane/internal/standin"
)

const (
	listName  = "_data._tcp.farm.lan"
	namesAddr = "127.0.0.1:5300"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "toy:", err)
		os.Exit(1)
	}
}

func run() error {
	nameServer, err := standin.NewNameServer(namesAddr, listName)
	if err != nil {
		return err
	}
	defer nameServer.Close()
	var hosts []standin.Host
	for i, zone := range []string{"hall-a", "hall-b"} {
		id := fmt.Sprintf("s-0000000%d", i+1)
		engine, err := standin.NewEngine(fmt.Sprintf("127.0.0.1:700%d", i+2), func(a standin.Request) standin.Reply { return answer(id, a) })
		if err != nil {
			return err
		}
		defer engine.Close()
		hosts = append(hosts, standin.Host{ID: id, Zone: zone, Addr: netip.MustParseAddrPort(engine.Addr()), Weight: 4, Kind: "std-16"})
		fmt.Printf("engine %s in %s at %s\n", id, zone, engine.Addr())
	}
	nameServer.SetHosts(2, hosts)
	fmt.Printf("name service at %s; end with Ctrl-C\n", nameServer.Addr())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}

// answer returns a reply with a delay of 100 ms and two pages that repeat the request.
func answer(engine string, request standin.Request) standin.Reply {
	fmt.Printf("%s: %s %s\n", engine, request.Fields["lane"], request.Statement)
	statement := strings.NewReplacer("\t", " ", "\n", " ").Replace(request.Statement)
	return standin.Reply{Delay: 100 * time.Millisecond, Status: "served", Pages: []string{
		"engine\tclass\tstatement\n" + engine + "\t" + request.Fields["lane"] + "\t" + statement + "\n",
		"page\t2\tof two\n",
	}}
}
