#include "ChildProcess.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace cowslipdoor::standins {

namespace {

    int toResult(int status) noexcept
    {
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

}

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath)
{
    std::vector<std::string> words { program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> argumentPointers;
    argumentPointers.reserve(words.size() + 1);
    for (std::string& word : words)
        argumentPointers.push_back(word.data());
    argumentPointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&this->child, program.c_str(), &actions, nullptr, argumentPointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0)
        throw std::runtime_error("cannot start " + program);
}

ChildProcess::~ChildProcess()
{
    if (!this->running())
        return;
    this->signal(SIGKILL);
    this->wait();
}

void ChildProcess::signal(int number) const
{
    if (!this->ended)
        ::kill(this->child, number);
}

int ChildProcess::wait()
{
    int status = 0;
    if (!this->ended && ::waitpid(this->child, &status, 0) == this->child) {
        this->ended = true;
        this->result = toResult(status);
    }
    return this->result;
}

bool ChildProcess::running()
{
    int status = 0;
    if (!this->ended && ::waitpid(this->child, &status, WNOHANG) == this->child) {
        this->ended = true;
        this->result = toResult(status);
    }
    return !this->ended;
}

std::string freeAddress()
{
    static std::set<unsigned short> given;
    boost::asio::io_context context(1);
    while (true) {
        const boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        const unsigned short port = acceptor.local_endpoint().port();
        if (given.insert(port).second)
            return "127.0.0.1:" + std::to_string(port);
    }
}

}
