#ifndef DAISYLANDING_NODE_PORTS_H
#define DAISYLANDING_NODE_PORTS_H

#include "cell/CellConfig.h"
#include "cell/ConfigCheck.h"
#include "cell/JobSpec.h"
#include "cell/WideTask.h"
#include "executor/AdvicePort.h"
#include "executor/ExecutorPort.h"
#include "http/Client.h"
#include "store/RowStore.h"

#include <memory>

/// Interfaces through which an entry uses the platform.
namespace daisylanding::node {

/// Why a caller's request body was refused: the field and its allowed values.
struct FieldError {
  std::string Field;
  std::string Allowed;
};

constexpr size_t MaxConfigProblems = 100;

/// What is wrong with a document of the operator's configuration.
struct ConfigProblem {
  std::string Field;   ///< Its path in the document.
  std::string Allowed; ///< Never tells a key.
  /// The document is refused; otherwise the field does less than it seems to.
  bool IsFatal = true;
};

/// Converts the platform's documents from and to this project's types.
class DocumentCodec {
public:
  virtual ~DocumentCodec() = default;
  /// Errors of the parse functions: Malformed; parseJob also OutOfRange.
  Result<cell::CellConfig> parseConfig(std::string_view Text) const {
    std::vector<ConfigProblem> Ignored;
    return parseConfig(Text, Ignored);
  }
  /// Appends what is wrong to \p Problems, at most `MaxConfigProblems`.
  virtual Result<cell::CellConfig>
  parseConfig(std::string_view Text,
              std::vector<ConfigProblem> &Problems) const = 0;
  /// The path of a field in the document.
  virtual std::string fieldPath(const cell::ConfigPlace &Place) const = 0;
  virtual Result<executor::ExecutorInfo>
  parseExecutor(std::string_view Id, std::string_view Text) const = 0;
  virtual Result<cell::JobSpec> parseJob(std::string_view Text,
                                         FieldError &Error) const = 0;
  virtual std::string formatState(std::string_view StateName) const = 0;
  virtual std::string formatPending(uint64_t Count) const = 0;
  /// The field of a request's body that the task is too wide in, and what is
  /// allowed.
  virtual FieldError wideTaskError(const cell::WideTask &Task) const = 0;
  /// Location of the operator's configuration and of the instance list.
  virtual std::string configTable() const = 0;
  virtual std::string configKey() const = 0;
  virtual std::string executorTable() const = 0;
  virtual std::string deadlineHeader() const = 0;
};

/// Creates a loop's ports; their calls run on the loop's own client.
class Ports {
public:
  virtual ~Ports() = default;
  virtual const DocumentCodec &codec() const = 0;
  virtual std::unique_ptr<store::RowStore>
  makeRowStore(http::MultiClient &Client) const = 0;
  virtual std::unique_ptr<executor::ExecutorPort>
  makeExecutorPort(http::MultiClient &Client) const = 0;
  virtual std::unique_ptr<executor::AdvicePort>
  makeAdvicePort(http::MultiClient &Client) const = 0;
};

} // namespace daisylanding::node

#endif
