#pragma once

/// @file
/// @brief Forward declarations of the core's public types.

namespace cowslipdoor {

struct Answer;
struct Announcement;
struct AnnouncementReply;
struct AttemptId;
struct Cancel;
struct Capacity;
struct DispatchRequest;
struct FailureReason;
struct Header;
struct Heartbeat;
struct Hello;
struct Inquiry;
struct Load;
struct LoadReport;
struct Report;
struct RequestHead;
struct RequestId;
struct Response;
struct Rule;
struct RulesUpdate;
struct RunningWork;
struct SourcePosition;
struct TextFault;
struct Welcome;

class Admission;
class AgentMachine;
class Bytes;
class EntryMachine;
class Error;
class Ledger;
class RetryBudget;
class Router;
class RuleSet;

enum class ErrorKind : unsigned char;
enum class EventId : unsigned short;
enum class Outcome : unsigned char;
enum class TrafficClass : unsigned char;

}
