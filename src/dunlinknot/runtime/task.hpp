// A lazy coroutine that returns one value to the coroutine awaiting it.
#pragma once
#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace dunlinknot {

template <class T = void>
class Task;

namespace detail {

// Common part of the promises of all tasks: the awaiting coroutine, and the exception to rethrow
// there.
struct PromiseBase {
  std::coroutine_handle<> continuation = std::noop_coroutine();
  std::exception_ptr error;

  // Resumes the awaiting coroutine by symmetric transfer, without growing the stack.
  struct FinalAwaiter {
    bool await_ready() const noexcept { return false; }
    template <class Promise>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> handle) noexcept {
      return handle.promise().continuation;
    }
    void await_resume() const noexcept {}
  };
  std::suspend_always initial_suspend() noexcept { return {}; }
  FinalAwaiter final_suspend() noexcept { return {}; }
  void unhandled_exception() { error = std::current_exception(); }
};

template <class T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  template <class Returned>
  void return_value(Returned&& returned) {
    value.emplace(std::forward<Returned>(returned));
  }
  T take() {
    if (error) std::rethrow_exception(error);
    return std::move(*value);
  }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
  void take() {
    if (error) std::rethrow_exception(error);
  }
};

}  // namespace detail

// Owns a coroutine that starts when the task is awaited and is destroyed with the task. A task can
// be awaited at most once. An exception that escapes the coroutine is rethrown to the awaiting
// coroutine. Top-level tasks are started by EventLoop::spawn.
template <class T>
class [[nodiscard]] Task {
 public:
  using promise_type = detail::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  Task() = default;
  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    if (this != &other) {
      if (handle_) handle_.destroy();
      handle_ = std::exchange(other.handle_, {});
    }
    return *this;
  }
  ~Task() {
    if (handle_) handle_.destroy();
  }

  bool await_ready() const noexcept { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) noexcept {
    handle_.promise().continuation = caller;
    return handle_;
  }
  T await_resume() { return handle_.promise().take(); }

 private:
  Handle handle_;
};

template <class T>
Task<T> detail::Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> detail::Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

}  // namespace dunlinknot
