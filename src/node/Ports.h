#ifndef DAISYLANDING_NODE_PORTS_H
#define DAISYLANDING_NODE_PORTS_H

#include "cell/CellConfig.h"
#include "cell/JobSpec.h"
#include "executor/AdvicePort.h"
#include "executor/ExecutorPort.h"
#include "http/Client.h"
#include "store/RowStore.h"

#include <memory>

/// What a process of a cell needs of the world around it.
namespace daisylanding::node {

/// Why a caller's body was refused: the field, and what is allowed.
struct FieldError {
  std::string Field;
  std::string Allowed;
};

/// The documents of the deployment, as the product's types.
class DocumentCodec {
public:
  virtual ~DocumentCodec() = default;
  /// Errors of all that decode: Malformed; of a job also OutOfRange.
  virtual Result<cell::CellConfig> parseConfig(std::string_view Text) const = 0;
  virtual Result<executor::ExecutorInfo>
  parseExecutor(std::string_view Id, std::string_view Text) const = 0;
  virtual Result<cell::JobSpec> parseJob(std::string_view Text,
                                         FieldError &Error) const = 0;
  virtual std::string formatState(std::string_view StateName) const = 0;
  virtual std::string formatPending(uint64_t Count) const = 0;
  /// Where the operator's configuration and the list of executors lie.
  virtual std::string configTable() const = 0;
  virtual std::string configKey() const = 0;
  virtual std::string executorTable() const = 0;
  virtual std::string deadlineHeader() const = 0;
};

/// Makes the ports that a loop uses, on its own client.
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
