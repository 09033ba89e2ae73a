// A log whose reader stops or goes away does not stop the process that writes it.
#include "process/linewriter.h"

#include "process/log.h"

#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <cstddef>
#include <string>

#include <fcntl.h>
#include <unistd.h>

namespace cicadagap {
namespace {

const std::string shortLine = std::string(99, 'x') + "\n";

class LineWriterTest : public testing::Test
{
protected:
    LineWriterTest()
    {
        EXPECT_EQ(::pipe(ends.data()), 0);
        EXPECT_NE(::fcntl(ends[0], F_SETFL, O_NONBLOCK), -1);
    }
    ~LineWriterTest() override
    {
        closeReader();
        ::close(ends[1]);
    }

    void closeReader()
    {
        if (ends[0] >= 0)
            ::close(ends[0]);
        ends[0] = -1;
    }

    // Reads what is in the pipe.
    std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> buffer{};
        for (;;) {
            const ssize_t size = ::read(ends[0], buffer.data(), buffer.size());
            if (size <= 0)
                return text;
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }

    // Writes more than the pipe and the writer can hold. Returns how many lines were not dropped.
    static std::size_t fill(LineWriter *writer)
    {
        constexpr int MoreThanFits = 100'000;
        std::size_t kept = 0;
        for (int i = 0; i < MoreThanFits; ++i)
            kept += writer->write(shortLine) ? 1 : 0;
        return kept;
    }

    std::array<int, 2> ends{-1, -1}; // To read from and to write to.
};

// Guards against this failure (review/9): hosts hung, as nothing read their standard output.
TEST_F(LineWriterTest, DoesNotWaitForAReader)
{
    LineWriter writer({.descriptor = ends[1], .capacity = 10'000});
    const std::size_t kept = fill(&writer);
    EXPECT_LT(kept, 100'000U);
    EXPECT_EQ(writer.takeDropped(), 100'000U - kept);
    EXPECT_EQ(writer.takeDropped(), 0U);
}

TEST_F(LineWriterTest, WritesWholeLinesOnceThereIsRoom)
{
    LineWriter writer({.descriptor = ends[1], .capacity = 10'000});
    const std::size_t kept = fill(&writer);
    std::string text = readAll();
    EXPECT_TRUE(writer.flush());
    text += readAll();
    ASSERT_EQ(text.size(), kept * shortLine.size());
    for (std::size_t at = 0; at < text.size(); at += shortLine.size())
        ASSERT_EQ(text.substr(at, shortLine.size()), shortLine);
    EXPECT_TRUE(writer.write(shortLine));
    EXPECT_EQ(readAll(), shortLine);
}

TEST_F(LineWriterTest, WritesLinesThatAreLongerThanThePipeTakesAtOnce)
{
    LineWriter writer({.descriptor = ends[1], .capacity = 200'000});
    const std::string line = std::string(100'000, 'y') + "\n";
    EXPECT_TRUE(writer.write(line));
    std::string text;
    for (int i = 0; i < 10 && text.size() < line.size(); ++i) {
        text += readAll();
        writer.flush();
    }
    EXPECT_EQ(text, line);
}

// The reader of a process's log may go away.
TEST_F(LineWriterTest, IsUsedByALogWhoseReaderMayGo)
{
    ::signal(SIGPIPE, SIG_DFL);
    startLog({.program = "test", .host = "h", .level = LogLevel::Error});
    closeReader();
    LineWriter writer({.descriptor = ends[1], .capacity = 10'000});
    EXPECT_TRUE(writer.write(shortLine));
    EXPECT_EQ(writer.takeDropped(), 1U);
}

TEST_F(LineWriterTest, CountsLinesOfAReaderThatIsGone)
{
    ::signal(SIGPIPE, SIG_IGN);
    LineWriter writer({.descriptor = ends[1], .capacity = 10'000});
    closeReader();
    EXPECT_TRUE(writer.write(shortLine));
    EXPECT_EQ(writer.takeDropped(), 1U);
}

} // namespace
} // namespace cicadagap
