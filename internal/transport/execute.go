package transport

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/gateway"
)

// This file executes effects of the reducer.

// execute executes an effect. SetTimer and Exit are the reducer loop's.
func (s *Server) execute(effect gateway.Effect) {
	switch f := effect.(type) {
	case *gateway.Write:
		if c := s.connByID(f.Conn); c != nil {
			s.send(c, f.Data)
		}
	case gateway.CloseConnection:
		if c := s.connByID(f.Conn); c != nil {
			s.closeAfterWrites(c)
		} else {
			s.cancelDial(f.Conn)
		}
	case gateway.ResetConnection:
		if c := s.connByID(f.Conn); c != nil {
			s.reset(c)
		}
	case gateway.NotifyDrained:
		if c := s.connByID(f.Conn); c != nil {
			s.notifyWhenDrained(c)
		}
	case gateway.Dial:
		s.startDial(f.Conn, f.Addr, f.Timeout)
	case gateway.QueryDNS:
		s.queryDNS(f.Data)
	case gateway.SetNameServer:
		if err := s.openDNS(f.Addr); err != nil {
			s.log.Warn("name service: not reached at its new address", zap.Error(err))
		}
	case gateway.SubmitSpool:
		s.submitToResultStore(f.Effect)
	case gateway.SendToMember:
		s.sendToMember(f)
	case gateway.JoinMembers:
		s.joinMembersOrRetry()
	case gateway.LeaveMembers:
		s.leaveMembers()
	case gateway.ControlResponse:
		if m := s.membership; m != nil && m.control != nil {
			m.control.respond(f)
		}
	case gateway.PersistVoterLog:
		s.persist(f.Batch)
	case gateway.Log:
		s.writeLog(f)
	}
}

var logLevels = map[gateway.Level]zapcore.Level{
	gateway.Debug: zapcore.DebugLevel, gateway.Info: zapcore.InfoLevel, gateway.Warn: zapcore.WarnLevel,
}

func (s *Server) writeLog(f gateway.Log) {
	entry := s.log.Check(logLevels[f.Level], f.Text)
	if entry == nil {
		return
	}
	fields := make([]zap.Field, len(f.Attrs))
	for i, a := range f.Attrs {
		fields[i] = zap.Any(a.Key, a.Value)
	}
	entry.Write(fields...)
}
